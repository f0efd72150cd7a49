package owner

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// ownedTarget is one owned target: its limiter behind a lock, and the jobs that wait for it.
type ownedTarget struct {
	mu      sync.Mutex
	limiter *Limiter
	epoch   uint64
	closed  bool
	waiting map[string]chan Decision
}

func newOwnedTarget(l *Limiter, epoch uint64) *ownedTarget {
	return &ownedTarget{limiter: l, epoch: epoch, waiting: map[string]chan Decision{}}
}

// submit returns the decision, and for Queued the channel on which the final one is sent.
func (t *ownedTarget) submit(now time.Time, j admission.Job, leased bool) (Decision, <-chan Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return notOwned(), nil
	}
	switch d := t.limiter.Submit(now, j, leased).(type) {
	case Queued:
		decided := make(chan Decision, 1)
		t.waiting[j.ID] = decided
		if d.Evicted != nil {
			t.resolve(d.Evicted.ID, d.Rejection)
		}
		return d, decided
	default:
		return d, nil
	}
}

func notOwned() Rejection {
	return Rejection{Reason: outcome.NoTarget, Text: textNotOwned, RetryAfter: minRetryDelay}
}

const textNotOwned = "another node owns the target"

func (t *ownedTarget) resolve(id string, d Decision) {
	if decided, ok := t.waiting[id]; ok {
		delete(t.waiting, id)
		decided <- d
	}
}

// advance resolves the waiting jobs that can start, are late or are shed.
func (t *ownedTarget) advance(now time.Time, leased bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceLocked(now, leased)
}

func (t *ownedTarget) advanceLocked(now time.Time, leased bool) {
	if t.closed {
		return
	}
	start, late, shed := t.limiter.Next(now, leased)
	for _, j := range start {
		t.resolve(j.ID, Admitted{})
	}
	for _, j := range shed {
		t.resolve(j.ID, Rejection{Reason: outcome.NoTarget, Text: "the target has turned cold", RetryAfter: minRetryDelay})
	}
	for _, j := range late {
		t.resolve(j.ID, Rejection{Reason: outcome.Overload, Text: "the wait for the target was too long", RetryAfter: max(t.limiter.queueDelay(t.limiter.queue.Len()), minRetryDelay)})
	}
}

// withdraw removes a waiting job; it returns false if a final decision is already on its channel.
func (t *ownedTarget) withdraw(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.waiting[id]; !ok {
		return false
	}
	delete(t.waiting, id)
	return t.limiter.Withdraw(id)
}

// update runs change on the limiter, then resolves waiting jobs.
func (t *ownedTarget) update(now time.Time, leased bool, change func(*Limiter)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t.limiter)
	t.advanceLocked(now, leased)
}

// close rejects every waiting job and returns the health and the number of attempts that may still run, for the
// next owner.
func (t *ownedTarget) close(now time.Time) (target.Health, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, j := range t.limiter.RemoveAll() {
		t.resolve(j.ID, notOwned())
	}
	return t.limiter.Health(), len(t.limiter.running) + t.limiter.Inherited(now)
}

func (t *ownedTarget) load(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Load(now)
}
