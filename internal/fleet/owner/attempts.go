package owner

import (
	"context"
	"sync"
	"time"
)

// attemptRetention is how long an attempt is kept after its deadline.
const attemptRetention = time.Minute

type attemptState string

const (
	stateWaiting   attemptState = "waiting"
	stateSent      attemptState = "sent"
	stateCancelled attemptState = "cancelled"
)

type attempt struct {
	state     attemptState
	cancel    context.CancelFunc
	expiresAt time.Time
}

// attempts records the state of each attempt, so that a cancel can report for certain whether the attempt was sent.
type attempts struct {
	mu       sync.Mutex
	byID     map[string]*attempt
	prunedAt time.Time
}

func newAttempts() *attempts { return &attempts{byID: map[string]*attempt{}} }

// register records a new attempt; it returns false if the attempt was cancelled before it arrived or is known already.
func (a *attempts) register(now time.Time, id string, deadline time.Time, cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prune(now)
	if _, ok := a.byID[id]; ok {
		return false
	}
	a.byID[id] = &attempt{state: stateWaiting, cancel: cancel, expiresAt: deadline.Add(attemptRetention)}
	return true
}

// markSent marks the attempt as sent; it returns false if the attempt was cancelled.
func (a *attempts) markSent(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byID[id]
	if t == nil || t.state != stateWaiting {
		return false
	}
	t.state = stateSent
	return true
}

// markNotSent marks the attempt as not sent, after it is certain that the target did not receive it.
func (a *attempts) markNotSent(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.byID[id]; t != nil {
		t.state = stateCancelled
	}
}

// cancel cancels the attempt and reports whether it had been sent; one that has not arrived yet is rejected on arrival.
func (a *attempts) cancel(now time.Time, id string) (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byID[id]
	if t == nil {
		a.byID[id] = &attempt{state: stateCancelled, expiresAt: now.Add(attemptRetention)}
		return false
	}
	if t.cancel != nil {
		t.cancel()
	}
	if t.state == stateSent {
		return true
	}
	t.state = stateCancelled
	return false
}

func (a *attempts) prune(now time.Time) {
	if now.Sub(a.prunedAt) < attemptRetention/4 {
		return
	}
	a.prunedAt = now
	for id, t := range a.byID {
		if now.After(t.expiresAt) {
			delete(a.byID, id)
		}
	}
}
