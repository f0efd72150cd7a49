package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
)

const (
	maxCancelTries      = 5
	cancelRetryInterval = 200 * time.Millisecond
)

// Task is an attempt that a coordinator asks for.
type Task struct {
	Target     string
	Address    string
	Bounds     target.Bounds
	QueueLimit int
	Job        admission.Job
	// Deadline is when the attempt must end, at the target too.
	Deadline time.Time
	// Timeout limits the attempt, counted from when it is sent.
	Timeout time.Duration
	Attempt backend.Attempt
}

// AttemptResult is one of Rejected and Executed.
type AttemptResult interface{ attemptResult() }

// Rejected is the result of an attempt that was not sent and will not be.
type Rejected struct {
	Rejection Rejection
	// Moved is set if this node does not own the target.
	Moved bool
}

// Executed is the result of an attempt that was sent.
type Executed struct {
	Result  backend.Result
	Elapsed time.Duration
}

func (Rejected) attemptResult() {}
func (Executed) attemptResult() {}

// Config holds what an owner needs from its node.
type Config struct {
	Now     func() time.Time
	Backend *backend.Client
	// HasLease reports whether the node's lease is valid.
	HasLease func(now time.Time) bool
	// CheckBlocked reports whether a target takes no new work, and returns the rejection that it gets.
	CheckBlocked func(now time.Time, target string) (Rejection, bool)
	// OnLimit is called when a target names another limit of runs a second, +Inf for none, or one that cannot be used.
	OnLimit func(target string, perSecond float64, err error)
	// OnTargetDraining is called when a target reports that it is draining.
	OnTargetDraining func(target string)
}

// Owner admits and sends work to the targets that this node owns.
type Owner struct {
	cfg      Config
	mu       sync.Mutex
	targets  atomic.Pointer[map[string]*ownedTarget]
	attempts *attempts
}

// New returns an owner without targets.
func New(cfg Config) *Owner {
	o := &Owner{cfg: cfg, attempts: newAttempts()}
	o.targets.Store(&map[string]*ownedTarget{})
	return o
}

func (o *Owner) lookup(name string) *ownedTarget { return (*o.targets.Load())[name] }

// updateTargets applies f to a copy of the owned targets, which then replaces them.
func (o *Owner) updateTargets(f func(map[string]*ownedTarget)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[string]*ownedTarget, len(*o.targets.Load())+1)
	for k, v := range *o.targets.Load() {
		next[k] = v
	}
	f(next)
	o.targets.Store(&next)
}

// Acquire starts owning a target under a fencing token.
func (o *Owner) Acquire(name string, epoch uint64, l *Limiter) {
	o.updateTargets(func(m map[string]*ownedTarget) { m[name] = newOwnedTarget(l, epoch) })
}

// Drop stops owning a target and returns its health and how many attempts may still run.
func (o *Owner) Drop(name string) (target.Health, int) {
	owned := o.lookup(name)
	if owned == nil {
		return target.Health{}, 0
	}
	o.updateTargets(func(m map[string]*ownedTarget) { delete(m, name) })
	return owned.close(o.cfg.Now())
}

// Epoch returns the fencing token under which a target is owned; false if it is not owned.
func (o *Owner) Epoch(name string) (uint64, bool) {
	owned := o.lookup(name)
	if owned == nil {
		return 0, false
	}
	return owned.epoch, true
}

// Targets returns the names of the owned targets.
func (o *Owner) Targets() []string {
	var list []string
	for name := range *o.targets.Load() {
		list = append(list, name)
	}
	return list
}

// Load returns the load of an owned target; false if it is not owned.
func (o *Owner) Load(name string) (Load, bool) {
	owned := o.lookup(name)
	if owned == nil {
		return Load{}, false
	}
	return owned.load(o.cfg.Now()), true
}

// SetBounds changes the bounds and the queue limit of an owned target.
func (o *Owner) SetBounds(name string, b target.Bounds, queueLimit int) {
	o.updateLimiter(name, func(l *Limiter) { l.SetBounds(b, queueLimit) })
}

// ClearInherited records that no attempt of a former owner runs at the target.
func (o *Owner) ClearInherited(name string) {
	o.updateLimiter(name, func(l *Limiter) { l.ClearInherited() })
}

// MarkCold marks an owned target as cold.
func (o *Owner) MarkCold(name string) {
	o.updateLimiter(name, func(l *Limiter) { l.MarkCold() })
}

// Inherited returns how many attempts of a former owner still count at a target.
func (o *Owner) Inherited(name string) int {
	inherited := 0
	o.updateLimiter(name, func(l *Limiter) { inherited = l.Inherited(o.cfg.Now()) })
	return inherited
}

func (o *Owner) updateLimiter(name string, f func(*Limiter)) {
	if owned := o.lookup(name); owned != nil {
		now := o.cfg.Now()
		owned.update(now, o.cfg.HasLease(now), f)
	}
}

// Tick rejects late jobs and starts jobs for which slots have become free.
func (o *Owner) Tick(now time.Time) {
	leased := o.cfg.HasLease(now)
	for _, owned := range *o.targets.Load() {
		owned.advance(now, leased)
	}
}

// Cancel cancels an attempt and reports whether it had been sent.
func (o *Owner) Cancel(id string) (sent bool) {
	return o.attempts.cancel(o.cfg.Now(), id)
}

// Work admits an attempt, sends it and passes its stream events to part.
func (o *Owner) Work(ctx context.Context, t Task, part func(n uint64, data []byte) error) AttemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !o.attempts.register(o.cfg.Now(), t.Job.ID, t.Deadline, cancel) {
		return Rejected{Rejection: Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled before it came"}}
	}
	owned := o.lookup(t.Target)
	if owned == nil {
		o.attempts.markNotSent(t.Job.ID)
		return Rejected{Rejection: notOwned(), Moved: true}
	}
	if r, ok := o.admit(ctx, owned, t); !ok {
		o.attempts.markNotSent(t.Job.ID)
		return Rejected{Rejection: r, Moved: r.Text == textNotOwned}
	}
	if r, ok := o.recheck(owned, t); !ok {
		owned.update(o.cfg.Now(), o.cfg.HasLease(o.cfg.Now()), func(l *Limiter) { l.FreeSlot(t.Job.ID) })
		o.attempts.markNotSent(t.Job.ID)
		return Rejected{Rejection: r}
	}
	return o.run(ctx, owned, t, part)
}

// admit waits until the job is admitted or rejected.
func (o *Owner) admit(ctx context.Context, owned *ownedTarget, t Task) (Rejection, bool) {
	now := o.cfg.Now()
	if r, blocked := o.cfg.CheckBlocked(now, t.Target); blocked {
		return r, false
	}
	decision, decided := owned.submit(now, t.Job, o.cfg.HasLease(now))
	if decided != nil {
		decision = o.awaitDecision(ctx, owned, t, decided)
	}
	switch d := decision.(type) {
	case Admitted:
		return Rejection{}, true
	case Rejection:
		return d, false
	}
	panic("owner: decision is neither Admitted nor Rejection")
}

func (o *Owner) awaitDecision(ctx context.Context, owned *ownedTarget, t Task, decided <-chan Decision) Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
		if owned.withdraw(t.Job.ID) {
			return Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled while it waited"}
		}
		return <-decided
	}
}

// recheck checks again right before the send, since the job may have waited or the process may have been paused.
func (o *Owner) recheck(owned *ownedTarget, t Task) (Rejection, bool) {
	now := o.cfg.Now()
	if r, blocked := o.cfg.CheckBlocked(now, t.Target); blocked {
		return r, false
	}
	owned.mu.Lock()
	maySend := !owned.closed && owned.limiter.MaySend(o.cfg.HasLease(now))
	owned.mu.Unlock()
	if !maySend {
		return notOwned(), false
	}
	if !now.Before(t.Deadline) {
		return Rejection{Reason: outcome.Deadline, Text: "the deadline passed while the attempt waited"}, false
	}
	if !o.attempts.markSent(t.Job.ID) {
		return Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled"}, false
	}
	return Rejection{}, true
}

func (o *Owner) run(ctx context.Context, owned *ownedTarget, t Task, part func(n uint64, data []byte) error) AttemptResult {
	started := o.cfg.Now()
	if end := started.Add(t.Timeout); end.Before(t.Deadline) {
		t.Deadline = end
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	a := t.Attempt
	a.FencingToken = owned.epoch
	a.Remaining = t.Deadline.Sub(started)
	a.OnHeader = func(h backend.Header) {
		now := o.cfg.Now()
		var before, after float64
		owned.update(now, o.cfg.HasLease(now), func(l *Limiter) {
			l.RecordBoot(h.BootID)
			before = l.Rate()
			if h.LimitErr == nil {
				l.SetRate(now, started, h.Limit)
			}
			after = l.Rate()
		})
		if before != after || h.LimitErr != nil {
			o.cfg.OnLimit(t.Target, after, h.LimitErr)
		}
	}
	result := o.cfg.Backend.Run(ctx, t.Address, a, part)
	now := o.cfg.Now()
	elapsed := now.Sub(started)
	leased := o.cfg.HasLease(now)
	switch r := result.(type) {
	case backend.Complete:
		owned.update(now, leased, func(l *Limiter) { l.RecordSuccess(now, t.Job.ID, r.HeaderLatency, elapsed, r.BootID) })
	case backend.Refused:
		o.recordRefusal(owned, t, r)
		return Rejected{Rejection: Rejection{Reason: outcome.NoTarget, Text: "target refused: " + r.Reason, RetryAfter: minRetryDelay}}
	case backend.Unreachable:
		owned.update(now, leased, func(l *Limiter) { l.RecordUnreachable(now, t.Job.ID) })
		o.attempts.markNotSent(t.Job.ID)
		return Rejected{Rejection: Rejection{Reason: outcome.NoTarget, Text: "target cannot be reached", RetryAfter: leaseRetryDelay}}
	case backend.Incomplete:
		owned.update(now, leased, func(l *Limiter) {
			l.RecordError(now, r.BootID)
			l.Abandon(t.Job.ID, t.Deadline)
		})
		go o.cancelAtTarget(owned, t)
	}
	return Executed{Result: result, Elapsed: elapsed}
}

func (o *Owner) recordRefusal(owned *ownedTarget, t Task, r backend.Refused) {
	now := o.cfg.Now()
	owned.update(now, o.cfg.HasLease(now), func(l *Limiter) {
		l.FreeSlot(t.Job.ID)
		l.RecordError(now, r.BootID)
	})
	o.attempts.markNotSent(t.Job.ID)
	if r.Draining {
		o.cfg.OnTargetDraining(t.Target)
	}
}

// cancelAtTarget cancels an abandoned attempt at the target; the attempt counts until the cancel is confirmed or its
// deadline has passed.
func (o *Owner) cancelAtTarget(owned *ownedTarget, t Task) {
	for range maxCancelTries {
		if o.cfg.Backend.Cancel(context.Background(), t.Address, t.Job.ID) == nil {
			now := o.cfg.Now()
			owned.update(now, o.cfg.HasLease(now), func(l *Limiter) { l.FreeSlot(t.Job.ID) })
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}
