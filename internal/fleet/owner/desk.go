package owner

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

const (
	minRetry   = 100 * time.Millisecond
	leaseRetry = time.Second
)

// Decision is one of Start, Wait and Refuse.
type Decision interface{ sealed() }

// Admitted says that the job may be sent now.
type Admitted struct{}

// Queued says that the job waits; Evicted, if set, made room for it and is refused with Refuse.
type Queued struct {
	Evicted   *admission.Job
	Rejection Rejection
}

// Rejection says that the job will not be sent.
type Rejection struct {
	Reason     outcome.Reason
	Text       string
	RetryAfter time.Duration
}

func (Admitted) sealed()  {}
func (Queued) sealed()    {}
func (Rejection) sealed() {}

// Limiter decides what is sent to one target and when. It is not safe for concurrent use.
type Limiter struct {
	bounds target.Bounds
	room   int
	health target.Health
	queue  *admission.Queue
	// running holds each attempt that may run at the target, with the time by which it surely does not.
	running map[string]time.Time
	service time.Duration
	// chilled is set from the moment the target turns cold until its queue has been cut to size.
	chilled bool
	// unsure is set while nothing has been heard of the target since it last ran nothing: it may have
	// started anew meanwhile, without any attempt that could have shown it.
	unsure bool
	// left attempts of an earlier owner may run until leftBy.
	left   int
	leftBy time.Time
}

// NewLimiter makes the desk of a target in the given health.
func NewLimiter(b target.Bounds, room int, h target.Health) *Limiter {
	return &Limiter{bounds: b, room: room, health: h.Clamped(b), queue: admission.NewQueue(), running: map[string]time.Time{}}
}

// SetInherited counts attempts of an earlier owner until by.
func (d *Limiter) SetInherited(left int, by time.Time) { d.left, d.leftBy = left, by }

// ClearInherited forgets the attempts of an earlier owner, after the target said that it runs nothing.
func (d *Limiter) ClearInherited() { d.left = 0 }

// Inherited is how many attempts of an earlier owner still count at now.
func (d *Limiter) Inherited(now time.Time) int {
	if now.Before(d.leftBy) {
		return d.left
	}
	return 0
}

// SetBounds takes changed bounds.
func (d *Limiter) SetBounds(b target.Bounds, room int) {
	d.bounds, d.room = b, room
	d.health = d.health.Clamped(b)
}

// Health is what is known of the target.
func (d *Limiter) Health() target.Health { return d.health }

// free is how many more attempts the target may have; leased tells whether the owner's lease holds.
func (d *Limiter) free(now time.Time, leased bool) int {
	if d.health.Phase == target.Cold && !leased {
		return 0
	}
	for id, by := range d.running {
		if !by.IsZero() && !now.Before(by) {
			delete(d.running, id)
		}
	}
	bears := d.health.ConcurrencyLimit
	if d.unsure {
		bears = min(bears, d.bounds.ColdLimit)
	}
	return bears - len(d.running) - d.Inherited(now)
}

// MaySend tells right before the send whether a started attempt may still go out.
func (d *Limiter) MaySend(leased bool) bool {
	return d.health.Phase == target.Warm || leased
}

// Submit decides on a job that has just come.
func (d *Limiter) Submit(now time.Time, j admission.Job, leased bool) Decision {
	d.learn(d.health.Idled(now, d.bounds))
	if d.health.Phase == target.Cold && !leased {
		return Rejection{Reason: outcome.NoTarget, Text: "target is cold and its owner has no lease", RetryAfter: leaseRetry}
	}
	if now.Add(d.service).After(j.Deadline) {
		return Rejection{Reason: outcome.Deadline, Text: "too little time is left for the stage", RetryAfter: minRetry}
	}
	free := d.free(now, leased)
	if free > 0 && d.queue.Len() == 0 {
		d.running[j.ID] = time.Time{}
		return Admitted{}
	}
	if d.health.Phase == target.Cold {
		full := Rejection{Reason: outcome.NoTarget, Text: "enough requests wait for a cold target", RetryAfter: max(d.drain(1), minRetry)}
		return d.enqueue(j, d.health.ConcurrencyLimit, full)
	}
	if late := now.Add(d.wait(j, free) + d.service).Sub(j.Deadline); late > 0 {
		return Rejection{Reason: outcome.Overload, Text: "the wait for the target is too long", RetryAfter: max(late, minRetry)}
	}
	full := Rejection{Reason: outcome.Overload, Text: "too many requests wait for the target", RetryAfter: max(d.drain(d.room/4), minRetry)}
	return d.enqueue(j, d.room, full)
}

// enqueue lets a job wait; in a full queue it takes the place of one of a team above its share, or is refused.
func (d *Limiter) enqueue(j admission.Job, room int, full Rejection) Decision {
	if d.queue.Len() < room {
		d.queue.Push(j)
		return Queued{}
	}
	out, ok := d.queue.EvictionCandidate(j)
	if !ok {
		return full
	}
	d.queue.Remove(out.ID)
	d.queue.Push(j)
	return Queued{Evicted: &out, Rejection: full}
}

func (d *Limiter) wait(j admission.Job, free int) time.Duration {
	return d.drain(max(0, d.queue.CountAhead(j)+1-max(free, 0)))
}

// drain is how long the target takes for n jobs, one level's worth at a time.
func (d *Limiter) drain(n int) time.Duration {
	return d.service * time.Duration(n) / time.Duration(max(1, d.health.ConcurrencyLimit))
}

// Next starts what may be started now and gives up what can no longer be done in time. After the
// target has turned cold, shed are the jobs that came for a warm one and do better elsewhere.
func (d *Limiter) Next(now time.Time, leased bool) (start, late, shed []admission.Job) {
	shed = d.shed()
	for _, j := range d.queue.Late(now, d.service) {
		d.queue.Remove(j.ID)
		late = append(late, j)
	}
	for free := d.free(now, leased); free > 0; free-- {
		j, ok := d.queue.Pop()
		if !ok {
			break
		}
		d.running[j.ID] = time.Time{}
		start = append(start, j)
	}
	return start, late, shed
}

// shed takes out all waiting jobs but one level's worth, once for each time that the target turns cold.
func (d *Limiter) shed() []admission.Job {
	if !d.chilled {
		return nil
	}
	d.chilled = false
	all := d.RemoveAll()
	keep := min(d.health.ConcurrencyLimit, len(all))
	for _, j := range all[:keep] {
		d.queue.Push(j)
	}
	return all[keep:]
}

// learn takes in what was found out about the target.
func (d *Limiter) learn(h target.Health) {
	d.chilled = d.chilled || (d.health.Phase == target.Warm && h.Phase == target.Cold)
	d.health = h
}

// RecordBoot takes in what the target calls its start.
func (d *Limiter) RecordBoot(boot string) {
	d.learn(d.health.Booted(boot, d.bounds))
	d.unsure = false
}

// MarkCold makes the target count as cold.
func (d *Limiter) MarkCold() { d.learn(d.health.ResetToCold(d.bounds)) }

// Withdraw takes a waiting job out; false if it does not wait.
func (d *Limiter) Withdraw(id string) bool {
	_, ok := d.queue.Remove(id)
	return ok
}

// RemoveAll takes every waiting job out.
func (d *Limiter) RemoveAll() []admission.Job {
	var list []admission.Job
	for {
		j, ok := d.queue.Pop()
		if !ok {
			return list
		}
		list = append(list, j)
	}
}

// Abandon keeps counting an attempt whose cancel is not confirmed, until by.
func (d *Limiter) Abandon(id string, by time.Time) {
	if _, ok := d.running[id]; ok {
		d.running[id] = by
	}
}

// FreeSlot stops counting an attempt that surely does not run.
func (d *Limiter) FreeSlot(id string) {
	delete(d.running, id)
	d.unsure = d.unsure || len(d.running) == 0
}

// RecordSuccess takes in a whole answer and its latencies.
func (d *Limiter) RecordSuccess(now time.Time, id string, first, whole time.Duration, boot string) {
	d.unsure = false
	d.learn(d.health.Answered(now, first, boot, d.bounds))
	d.FreeSlot(id)
	if d.service == 0 {
		d.service = whole
	} else {
		d.service += (whole - d.service) / 8
	}
}

// RecordError takes in an attempt that broke.
func (d *Limiter) RecordError(now time.Time, boot string) {
	d.learn(d.health.Booted(boot, d.bounds).Errored(now, d.bounds))
}

// RecordUnreachable takes in a refused connection.
func (d *Limiter) RecordUnreachable(now time.Time, id string) {
	d.FreeSlot(id)
	d.learn(d.health.Unreached(now, d.bounds))
}

// Load is what the owner tells others of a target.
type Load struct {
	Running int
	Queued  int
	Level   int
	Wait    time.Duration
	Cold    bool
}

// Load sums the desk up.
func (d *Limiter) Load(now time.Time) Load {
	return Load{
		Running: len(d.running) + d.Inherited(now),
		Queued:  d.queue.Len(),
		Level:   d.health.ConcurrencyLimit,
		Wait:    d.drain(d.queue.Len()),
		Cold:    d.health.Phase == target.Cold,
	}
}
