package owner

import (
	"context"
	"sync"
	"time"
)

// attemptMemory is how long an attempt is remembered after it is surely over.
const attemptMemory = time.Minute

type attemptState string

const (
	stateWaiting   attemptState = "waiting"
	stateSent      attemptState = "sent"
	stateCancelled attemptState = "cancelled"
)

type attempt struct {
	state attemptState
	stop  context.CancelFunc
	until time.Time
}

// attempts remembers what became of each attempt, so that a cancel has a sure answer.
type attempts struct {
	mu     sync.Mutex
	known  map[string]*attempt
	pruned time.Time
}

func newAttempts() *attempts { return &attempts{known: map[string]*attempt{}} }

// enter notes a new attempt; false if it was cancelled before it came, or has come before.
func (a *attempts) enter(now time.Time, id string, deadline time.Time, stop context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prune(now)
	if _, ok := a.known[id]; ok {
		return false
	}
	a.known[id] = &attempt{state: stateWaiting, stop: stop, until: deadline.Add(attemptMemory)}
	return true
}

// send marks the attempt as sent; false if it was cancelled.
func (a *attempts) send(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.known[id]
	if t == nil || t.state != stateWaiting {
		return false
	}
	t.state = stateSent
	return true
}

// unsent takes back a mark, after the target was surely not reached.
func (a *attempts) unsent(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.known[id]; t != nil {
		t.state = stateCancelled
	}
}

// cancel gives the attempt up and tells whether it had been sent; one not yet come will be refused.
func (a *attempts) cancel(now time.Time, id string) (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.known[id]
	if t == nil {
		a.known[id] = &attempt{state: stateCancelled, until: now.Add(attemptMemory)}
		return false
	}
	if t.stop != nil {
		t.stop()
	}
	if t.state == stateSent {
		return true
	}
	t.state = stateCancelled
	return false
}

func (a *attempts) prune(now time.Time) {
	if now.Sub(a.pruned) < attemptMemory/4 {
		return
	}
	a.pruned = now
	for id, t := range a.known {
		if now.After(t.until) {
			delete(a.known, id)
		}
	}
}
