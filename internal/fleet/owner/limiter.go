package owner

import (
	"math"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

const (
	minRetryDelay   = 100 * time.Millisecond
	leaseRetryDelay = time.Second
)

// Decision is one of Admitted, Queued and Rejection.
type Decision interface{ decision() }

// Admitted is the decision that the job may be sent now.
type Admitted struct{}

// Queued is the decision that the job waits; Evicted, if set, gave up its place in the queue and gets Rejection.
type Queued struct {
	Evicted   *admission.Job
	Rejection Rejection
}

// Rejection is the decision that the job will not be sent.
type Rejection struct {
	Reason     outcome.Reason
	Text       string
	RetryAfter time.Duration
}

func (Admitted) decision()  {}
func (Queued) decision()    {}
func (Rejection) decision() {}

// Limiter decides what is sent to one target and when. It is not safe for concurrent use.
type Limiter struct {
	bounds     target.Bounds
	queueLimit int
	health     target.Health
	queue      *admission.Queue
	// running holds each attempt that may run at the target, with the time after which it cannot, if known.
	running     map[string]time.Time
	serviceTime time.Duration
	// turnedCold is set when the target turns cold and cleared once the excess of its queue has been shed.
	turnedCold bool
	// mayHaveRestarted is set while the target has not responded since its last attempt ended: it may have
	// restarted meanwhile, with no attempt running that would have shown it.
	mayHaveRestarted bool
	// rate is the number of runs a second that the target takes, +Inf for any, as it said at rateAt; pacer spaces them.
	rate   float64
	rateAt time.Time
	pacer  ratelimit.Pacer
	// inherited attempts of a former owner may run until inheritedUntil.
	inherited      int
	inheritedUntil time.Time
}

// NewLimiter returns the limiter of a target in the given health.
func NewLimiter(b target.Bounds, queueLimit int, h target.Health) *Limiter {
	return &Limiter{bounds: b, queueLimit: queueLimit, health: h.Clamped(b), queue: admission.NewQueue(), running: map[string]time.Time{}, rate: math.Inf(1)}
}

// SetInherited counts attempts of a former owner until the given time.
func (l *Limiter) SetInherited(n int, until time.Time) { l.inherited, l.inheritedUntil = n, until }

// ClearInherited stops counting the attempts of a former owner, after the target reported that it runs nothing.
func (l *Limiter) ClearInherited() { l.inherited = 0 }

// Inherited returns how many attempts of a former owner still count at now.
func (l *Limiter) Inherited(now time.Time) int {
	if now.Before(l.inheritedUntil) {
		return l.inherited
	}
	return 0
}

// SetBounds changes the bounds and the queue limit.
func (l *Limiter) SetBounds(b target.Bounds, queueLimit int) {
	l.bounds, l.queueLimit = b, queueLimit
	l.health = l.health.Clamped(b)
}

// Health returns the known health of the target.
func (l *Limiter) Health() target.Health { return l.health }

// availableSlots returns how many more attempts the target may get; leased is whether the owner's lease is valid.
func (l *Limiter) availableSlots(now time.Time, leased bool) int {
	if l.health.Phase == target.Cold && !leased {
		return 0
	}
	for id, until := range l.running {
		if !until.IsZero() && !now.Before(until) {
			delete(l.running, id)
		}
	}
	limit := l.health.ConcurrencyLimit
	if l.mayHaveRestarted {
		limit = min(limit, l.bounds.ColdLimit)
	}
	available := limit - len(l.running) - l.Inherited(now)
	if !l.isPaced() {
		return available
	}
	if l.pacer.Next(now).After(now) {
		return 0
	}
	return min(available, 1)
}

// start counts an attempt that is about to be sent.
func (l *Limiter) start(now time.Time, id string) {
	l.running[id] = time.Time{}
	if l.isPaced() {
		l.pacer = l.pacer.WithSend(now)
	}
}

func (l *Limiter) isPaced() bool { return !math.IsInf(l.rate, 1) }

// Rate returns the number of runs a second that the target takes, +Inf for any.
func (l *Limiter) Rate() float64 { return l.rate }

// SetRate sets the number of runs a second that the target takes, as the response to an attempt that was sent at sentAt says. A
// response to an attempt that was sent before the latest one said so counts only if it is stricter.
func (l *Limiter) SetRate(now, sentAt time.Time, perSecond float64) {
	if sentAt.Before(l.rateAt) && perSecond >= l.rate {
		return
	}
	l.rateAt = now
	if perSecond == l.rate {
		return
	}
	wasPaced := l.isPaced()
	l.rate = perSecond
	switch {
	case !l.isPaced():
	case wasPaced:
		l.pacer = l.pacer.WithRate(ratelimit.FleetRate(perSecond))
	default:
		l.pacer = ratelimit.NewPacer(now, ratelimit.FleetRate(perSecond), 1)
	}
}

// MaySend reports, right before the send, whether an admitted attempt may still be sent.
func (l *Limiter) MaySend(leased bool) bool {
	return l.health.Phase == target.Warm || leased
}

// Submit decides on a new job.
func (l *Limiter) Submit(now time.Time, j admission.Job, leased bool) Decision {
	l.setHealth(l.health.Idled(now, l.bounds))
	if l.health.Phase == target.Cold && !leased {
		return Rejection{Reason: outcome.NoTarget, Text: "target is cold and its owner has no lease", RetryAfter: leaseRetryDelay}
	}
	if now.Add(l.serviceTime).After(j.Deadline) {
		return Rejection{Reason: outcome.Deadline, Text: "too little time is left for the stage", RetryAfter: minRetryDelay}
	}
	available := l.availableSlots(now, leased)
	if available > 0 && l.queue.Len() == 0 {
		l.start(now, j.ID)
		return Admitted{}
	}
	if l.health.Phase == target.Cold {
		full := Rejection{Reason: outcome.NoTarget, Text: "enough requests wait for a cold target", RetryAfter: max(l.queueDelay(1), minRetryDelay)}
		return l.enqueue(j, l.health.ConcurrencyLimit, full)
	}
	if excess := now.Add(l.expectedWait(j, available) + l.serviceTime).Sub(j.Deadline); excess > 0 {
		return Rejection{Reason: outcome.Overload, Text: "the wait for the target is too long", RetryAfter: max(excess, minRetryDelay)}
	}
	full := Rejection{Reason: outcome.Overload, Text: "too many requests wait for the target", RetryAfter: max(l.queueDelay(l.queueLimit/4), minRetryDelay)}
	return l.enqueue(j, l.queueLimit, full)
}

// enqueue queues a job; if the queue is full, the job replaces one of a team above its share or is rejected.
func (l *Limiter) enqueue(j admission.Job, queueLimit int, full Rejection) Decision {
	if l.queue.Len() < queueLimit {
		l.queue.Push(j)
		return Queued{}
	}
	evicted, ok := l.queue.EvictionCandidate(j)
	if !ok {
		return full
	}
	l.queue.Remove(evicted.ID)
	l.queue.Push(j)
	return Queued{Evicted: &evicted, Rejection: full}
}

func (l *Limiter) expectedWait(j admission.Job, available int) time.Duration {
	return l.queueDelay(max(0, l.queue.CountAhead(j)+1-max(available, 0)))
}

// queueDelay returns how long the target takes for n jobs at its concurrency limit and the rate that it has named.
func (l *Limiter) queueDelay(n int) time.Duration {
	delay := l.serviceTime * time.Duration(n) / time.Duration(max(1, l.health.ConcurrencyLimit))
	if l.isPaced() {
		delay = max(delay, time.Duration(float64(n)*float64(time.Second)/ratelimit.FleetRate(l.rate)))
	}
	return delay
}

// Next returns the jobs that may start now and those that can no longer meet their deadline. After the target
// has turned cold, shed holds the jobs that were queued for a warm target and are better sent elsewhere.
func (l *Limiter) Next(now time.Time, leased bool) (start, late, shed []admission.Job) {
	shed = l.shedExcess()
	for _, j := range l.queue.Late(now, l.serviceTime) {
		l.queue.Remove(j.ID)
		late = append(late, j)
	}
	for l.availableSlots(now, leased) > 0 {
		j, ok := l.queue.Pop()
		if !ok {
			break
		}
		l.start(now, j.ID)
		start = append(start, j)
	}
	return start, late, shed
}

// shedExcess removes all waiting jobs above the concurrency limit, once each time the target turns cold.
func (l *Limiter) shedExcess() []admission.Job {
	if !l.turnedCold {
		return nil
	}
	l.turnedCold = false
	all := l.RemoveAll()
	keep := min(l.health.ConcurrencyLimit, len(all))
	for _, j := range all[:keep] {
		l.queue.Push(j)
	}
	return all[keep:]
}

// setHealth updates the health of the target.
func (l *Limiter) setHealth(h target.Health) {
	l.turnedCold = l.turnedCold || (l.health.Phase == target.Warm && h.Phase == target.Cold)
	l.health = h
}

// RecordBoot records the boot ID of the target.
func (l *Limiter) RecordBoot(bootID string) {
	l.setHealth(l.health.Booted(bootID, l.bounds))
	l.mayHaveRestarted = false
}

// MarkCold marks the target as cold.
func (l *Limiter) MarkCold() { l.setHealth(l.health.ResetToCold(l.bounds)) }

// Withdraw removes a waiting job; it returns false if the job does not wait.
func (l *Limiter) Withdraw(id string) bool {
	_, ok := l.queue.Remove(id)
	return ok
}

// RemoveAll removes and returns every waiting job.
func (l *Limiter) RemoveAll() []admission.Job {
	var list []admission.Job
	for {
		j, ok := l.queue.Pop()
		if !ok {
			return list
		}
		list = append(list, j)
	}
}

// Abandon keeps counting an attempt whose cancel is not confirmed, until the given time.
func (l *Limiter) Abandon(id string, until time.Time) {
	if _, ok := l.running[id]; ok {
		l.running[id] = until
	}
}

// FreeSlot stops counting an attempt that is known not to run.
func (l *Limiter) FreeSlot(id string) {
	delete(l.running, id)
	l.mayHaveRestarted = l.mayHaveRestarted || len(l.running) == 0
}

// RecordSuccess records a complete response and its latencies.
func (l *Limiter) RecordSuccess(now time.Time, id string, headerLatency, latency time.Duration, bootID string) {
	l.mayHaveRestarted = false
	l.setHealth(l.health.Answered(now, headerLatency, bootID, l.bounds))
	l.FreeSlot(id)
	if l.serviceTime == 0 {
		l.serviceTime = latency
	} else {
		l.serviceTime += (latency - l.serviceTime) / 8
	}
}

// RecordError records a failed attempt.
func (l *Limiter) RecordError(now time.Time, bootID string) {
	l.setHealth(l.health.Booted(bootID, l.bounds).Errored(now, l.bounds))
}

// RecordUnreachable records a refused connection.
func (l *Limiter) RecordUnreachable(now time.Time, id string) {
	l.FreeSlot(id)
	l.setHealth(l.health.Unreached(now, l.bounds))
}

// Load is the load of a target as its owner reports it.
type Load struct {
	Running          int
	Queued           int
	ConcurrencyLimit int
	Wait             time.Duration
	Cold             bool
}

// Load returns the current load.
func (l *Limiter) Load(now time.Time) Load {
	return Load{
		Running:          len(l.running) + l.Inherited(now),
		Queued:           l.queue.Len(),
		ConcurrencyLimit: l.health.ConcurrencyLimit,
		Wait:             l.queueDelay(l.queue.Len()),
		Cold:             l.health.Phase == target.Cold,
	}
}
