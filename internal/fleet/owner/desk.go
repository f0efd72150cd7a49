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

// Verdict is one of Start, Wait and Refuse.
type Verdict interface{ sealed() }

// Start says that the job may be sent now.
type Start struct{}

// Wait says that the job waits; Evicted, if set, made room for it and is refused with Refuse.
type Wait struct {
	Evicted *admission.Job
	Refuse  Refuse
}

// Refuse says that the job will not be sent.
type Refuse struct {
	Reason     outcome.Reason
	Text       string
	RetryAfter time.Duration
}

func (Start) sealed()  {}
func (Wait) sealed()   {}
func (Refuse) sealed() {}

// Desk decides what is sent to one target and when. It is not safe for concurrent use.
type Desk struct {
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

// NewDesk makes the desk of a target in the given health.
func NewDesk(b target.Bounds, room int, h target.Health) *Desk {
	return &Desk{bounds: b, room: room, health: h.Clamped(b), queue: admission.NewQueue(), running: map[string]time.Time{}}
}

// Leave counts attempts of an earlier owner until by.
func (d *Desk) Leave(left int, by time.Time) { d.left, d.leftBy = left, by }

// Cleared forgets the attempts of an earlier owner, after the target said that it runs nothing.
func (d *Desk) Cleared() { d.left = 0 }

// Left is how many attempts of an earlier owner still count at now.
func (d *Desk) Left(now time.Time) int {
	if now.Before(d.leftBy) {
		return d.left
	}
	return 0
}

// Resize takes changed bounds.
func (d *Desk) Resize(b target.Bounds, room int) {
	d.bounds, d.room = b, room
	d.health = d.health.Clamped(b)
}

// Health is what is known of the target.
func (d *Desk) Health() target.Health { return d.health }

// free is how many more attempts the target may have; leased tells whether the owner's lease holds.
func (d *Desk) free(now time.Time, leased bool) int {
	if d.health.Phase == target.Cold && !leased {
		return 0
	}
	for id, by := range d.running {
		if !by.IsZero() && !now.Before(by) {
			delete(d.running, id)
		}
	}
	bears := d.health.Level
	if d.unsure {
		bears = min(bears, d.bounds.Cold)
	}
	return bears - len(d.running) - d.Left(now)
}

// MaySend tells right before the send whether a started attempt may still go out.
func (d *Desk) MaySend(leased bool) bool {
	return d.health.Phase == target.Warm || leased
}

// Submit decides on a job that has just come.
func (d *Desk) Submit(now time.Time, j admission.Job, leased bool) Verdict {
	d.learn(d.health.Idled(now, d.bounds))
	if d.health.Phase == target.Cold && !leased {
		return Refuse{Reason: outcome.NoTarget, Text: "target is cold and its owner has no lease", RetryAfter: leaseRetry}
	}
	if now.Add(d.service).After(j.By) {
		return Refuse{Reason: outcome.Deadline, Text: "too little time is left for the stage", RetryAfter: minRetry}
	}
	free := d.free(now, leased)
	if free > 0 && d.queue.Len() == 0 {
		d.running[j.ID] = time.Time{}
		return Start{}
	}
	if d.health.Phase == target.Cold {
		full := Refuse{Reason: outcome.NoTarget, Text: "enough requests wait for a cold target", RetryAfter: max(d.drain(1), minRetry)}
		return d.enqueue(j, d.health.Level, full)
	}
	if late := now.Add(d.wait(j, free) + d.service).Sub(j.By); late > 0 {
		return Refuse{Reason: outcome.Overload, Text: "the wait for the target is too long", RetryAfter: max(late, minRetry)}
	}
	full := Refuse{Reason: outcome.Overload, Text: "too many requests wait for the target", RetryAfter: max(d.drain(d.room/4), minRetry)}
	return d.enqueue(j, d.room, full)
}

// enqueue lets a job wait; in a full queue it takes the place of one of a team above its share, or is refused.
func (d *Desk) enqueue(j admission.Job, room int, full Refuse) Verdict {
	if d.queue.Len() < room {
		d.queue.Push(j)
		return Wait{}
	}
	out, ok := d.queue.Yield(j)
	if !ok {
		return full
	}
	d.queue.Remove(out.ID)
	d.queue.Push(j)
	return Wait{Evicted: &out, Refuse: full}
}

func (d *Desk) wait(j admission.Job, free int) time.Duration {
	return d.drain(max(0, d.queue.Ahead(j)+1-max(free, 0)))
}

// drain is how long the target takes for n jobs, one level's worth at a time.
func (d *Desk) drain(n int) time.Duration {
	return d.service * time.Duration(n) / time.Duration(max(1, d.health.Level))
}

// Next starts what may be started now and gives up what can no longer be done in time. After the
// target has turned cold, shed are the jobs that came for a warm one and do better elsewhere.
func (d *Desk) Next(now time.Time, leased bool) (start, late, shed []admission.Job) {
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
func (d *Desk) shed() []admission.Job {
	if !d.chilled {
		return nil
	}
	d.chilled = false
	all := d.Close()
	keep := min(d.health.Level, len(all))
	for _, j := range all[:keep] {
		d.queue.Push(j)
	}
	return all[keep:]
}

// learn takes in what was found out about the target.
func (d *Desk) learn(h target.Health) {
	d.chilled = d.chilled || (d.health.Phase == target.Warm && h.Phase == target.Cold)
	d.health = h
}

// Booted takes in what the target calls its start.
func (d *Desk) Booted(boot string) {
	d.learn(d.health.Booted(boot, d.bounds))
	d.unsure = false
}

// Chill makes the target count as cold.
func (d *Desk) Chill() { d.learn(d.health.Chilled(d.bounds)) }

// Withdraw takes a waiting job out; false if it does not wait.
func (d *Desk) Withdraw(id string) bool {
	_, ok := d.queue.Remove(id)
	return ok
}

// Close takes every waiting job out.
func (d *Desk) Close() []admission.Job {
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
func (d *Desk) Abandon(id string, by time.Time) {
	if _, ok := d.running[id]; ok {
		d.running[id] = by
	}
}

// Release stops counting an attempt that surely does not run.
func (d *Desk) Release(id string) {
	delete(d.running, id)
	d.unsure = d.unsure || len(d.running) == 0
}

// Answered takes in a whole answer and its latencies.
func (d *Desk) Answered(now time.Time, id string, first, whole time.Duration, boot string) {
	d.unsure = false
	d.learn(d.health.Answered(now, first, boot, d.bounds))
	d.Release(id)
	if d.service == 0 {
		d.service = whole
	} else {
		d.service += (whole - d.service) / 8
	}
}

// Errored takes in an attempt that broke.
func (d *Desk) Errored(now time.Time, boot string) {
	d.learn(d.health.Booted(boot, d.bounds).Errored(now, d.bounds))
}

// Unreached takes in a refused connection.
func (d *Desk) Unreached(now time.Time, id string) {
	d.Release(id)
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
func (d *Desk) Load(now time.Time) Load {
	return Load{
		Running: len(d.running) + d.Left(now),
		Queued:  d.queue.Len(),
		Level:   d.health.Level,
		Wait:    d.drain(d.queue.Len()),
		Cold:    d.health.Phase == target.Cold,
	}
}
