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
	cancelTries = 5
	cancelPause = 200 * time.Millisecond
)

// Task is an attempt that an entry asks for.
type Task struct {
	Target     string
	Address    string
	Bounds     target.Bounds
	QueueLimit int
	Job        admission.Job
	// Deadline is when the attempt must be given up, at the target too.
	Deadline time.Time
	// Timeout bounds the attempt from its send on.
	Timeout time.Duration
	Attempt backend.Attempt
}

// AttemptResult is one of Declined and Ran.
type AttemptResult interface{ sealedEnd() }

// Rejected says that the attempt was not sent and will not be.
type Rejected struct {
	Rejection Rejection
	// Moved tells that this node does not own the target.
	Moved bool
}

// Executed says that the attempt was sent.
type Executed struct {
	Result  backend.Result
	Elapsed time.Duration
}

func (Rejected) sealedEnd() {}
func (Executed) sealedEnd() {}

// Config is what an owner needs from its node.
type Config struct {
	Now     func() time.Time
	Backend *backend.Client
	// HasLease tells whether the node's lease holds.
	HasLease func(now time.Time) bool
	// CheckBlocked tells why a target takes no new work, if so.
	CheckBlocked func(now time.Time, target string) (Rejection, bool)
	// OnTargetLeaving is told of a target that said it is leaving.
	OnTargetLeaving func(target string)
}

// Owner holds the targets that this node owns.
type Owner struct {
	cfg      Config
	mu       sync.Mutex
	stations atomic.Pointer[map[string]*station]
	attempts *attempts
}

// New makes an owner of nothing.
func New(cfg Config) *Owner {
	o := &Owner{cfg: cfg, attempts: newAttempts()}
	o.stations.Store(&map[string]*station{})
	return o
}

func (o *Owner) station(name string) *station { return (*o.stations.Load())[name] }

// change swaps in a changed copy of the stations.
func (o *Owner) change(f func(map[string]*station)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[string]*station, len(*o.stations.Load())+1)
	for k, v := range *o.stations.Load() {
		next[k] = v
	}
	f(next)
	o.stations.Store(&next)
}

// Acquire begins to own a target under a fencing number.
func (o *Owner) Acquire(name string, epoch uint64, d *Limiter) {
	o.change(func(m map[string]*station) { m[name] = newStation(d, epoch) })
}

// Drop ends owning a target and gives its health and how many attempts may still run.
func (o *Owner) Drop(name string) (target.Health, int) {
	s := o.station(name)
	if s == nil {
		return target.Health{}, 0
	}
	o.change(func(m map[string]*station) { delete(m, name) })
	return s.close(o.cfg.Now())
}

// Epoch gives the fencing number under which a target is owned; false if it is not.
func (o *Owner) Epoch(name string) (uint64, bool) {
	s := o.station(name)
	if s == nil {
		return 0, false
	}
	return s.epoch, true
}

// Targets names the owned targets.
func (o *Owner) Targets() []string {
	var list []string
	for name := range *o.stations.Load() {
		list = append(list, name)
	}
	return list
}

// Load sums up an owned target.
func (o *Owner) Load(name string) (Load, bool) {
	s := o.station(name)
	if s == nil {
		return Load{}, false
	}
	return s.load(o.cfg.Now()), true
}

// SetBounds takes changed bounds for an owned target.
func (o *Owner) SetBounds(name string, b target.Bounds, room int) {
	o.update(name, func(d *Limiter) { d.SetBounds(b, room) })
}

// ClearInherited notes that nothing of an earlier owner runs at the target.
func (o *Owner) ClearInherited(name string) {
	o.update(name, func(d *Limiter) { d.ClearInherited() })
}

// MarkCold makes an owned target count as cold.
func (o *Owner) MarkCold(name string) {
	o.update(name, func(d *Limiter) { d.MarkCold() })
}

// Inherited is how many attempts of an earlier owner still count at a target.
func (o *Owner) Inherited(name string) int {
	left := 0
	o.update(name, func(d *Limiter) { left = d.Inherited(o.cfg.Now()) })
	return left
}

func (o *Owner) update(name string, f func(*Limiter)) {
	if s := o.station(name); s != nil {
		now := o.cfg.Now()
		s.update(now, o.cfg.HasLease(now), f)
	}
}

// Tick gives up late jobs and starts what has become free.
func (o *Owner) Tick(now time.Time) {
	leased := o.cfg.HasLease(now)
	for _, s := range *o.stations.Load() {
		s.pump(now, leased)
	}
}

// Cancel gives an attempt up and tells whether it had been sent.
func (o *Owner) Cancel(id string) (sent bool) {
	return o.attempts.cancel(o.cfg.Now(), id)
}

// Work admits an attempt, sends it and hands its stream events to part.
func (o *Owner) Work(ctx context.Context, t Task, part func(n uint64, data []byte) error) AttemptResult {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !o.attempts.enter(o.cfg.Now(), t.Job.ID, t.Deadline, stop) {
		return Rejected{Rejection: Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled before it came"}}
	}
	s := o.station(t.Target)
	if s == nil {
		o.attempts.unsent(t.Job.ID)
		return Rejected{Rejection: moved(), Moved: true}
	}
	if r, ok := o.admit(ctx, s, t); !ok {
		o.attempts.unsent(t.Job.ID)
		return Rejected{Rejection: r, Moved: r.Text == textMoved}
	}
	if r, ok := o.clear(s, t); !ok {
		s.update(o.cfg.Now(), o.cfg.HasLease(o.cfg.Now()), func(d *Limiter) { d.FreeSlot(t.Job.ID) })
		o.attempts.unsent(t.Job.ID)
		return Rejected{Rejection: r}
	}
	return o.run(ctx, s, t, part)
}

// admit waits for the job's turn.
func (o *Owner) admit(ctx context.Context, s *station, t Task) (Rejection, bool) {
	now := o.cfg.Now()
	if r, barred := o.cfg.CheckBlocked(now, t.Target); barred {
		return r, false
	}
	verdict, grant := s.submit(now, t.Job, o.cfg.HasLease(now))
	if grant != nil {
		verdict = o.await(ctx, s, t, grant)
	}
	switch v := verdict.(type) {
	case Admitted:
		return Rejection{}, true
	case Rejection:
		return v, false
	}
	panic("owner: a verdict is neither start nor refuse")
}

func (o *Owner) await(ctx context.Context, s *station, t Task, grant <-chan Decision) Decision {
	select {
	case v := <-grant:
		return v
	case <-ctx.Done():
		if s.withdraw(t.Job.ID) {
			return Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled while it waited"}
		}
		return <-grant
	}
}

// clear checks once more right before the send: the job may have waited, or the process been paused.
func (o *Owner) clear(s *station, t Task) (Rejection, bool) {
	now := o.cfg.Now()
	if r, barred := o.cfg.CheckBlocked(now, t.Target); barred {
		return r, false
	}
	s.mu.Lock()
	may := !s.closed && s.desk.MaySend(o.cfg.HasLease(now))
	s.mu.Unlock()
	if !may {
		return moved(), false
	}
	if !now.Before(t.Deadline) {
		return Rejection{Reason: outcome.Deadline, Text: "the deadline passed while the attempt waited"}, false
	}
	if !o.attempts.send(t.Job.ID) {
		return Rejection{Reason: outcome.Cancelled, Text: "attempt was cancelled"}, false
	}
	return Rejection{}, true
}

func (o *Owner) run(ctx context.Context, s *station, t Task, part func(n uint64, data []byte) error) AttemptResult {
	started := o.cfg.Now()
	if end := started.Add(t.Timeout); end.Before(t.Deadline) {
		t.Deadline = end
	}
	ctx, stop := context.WithDeadline(ctx, t.Deadline)
	defer stop()
	a := t.Attempt
	a.FencingToken = s.epoch
	a.Remaining = t.Deadline.Sub(started)
	a.OnHeader = func(boot string) {
		now := o.cfg.Now()
		s.update(now, o.cfg.HasLease(now), func(d *Limiter) { d.RecordBoot(boot) })
	}
	result := o.cfg.Backend.Run(ctx, t.Address, a, part)
	now := o.cfg.Now()
	cost := now.Sub(started)
	leased := o.cfg.HasLease(now)
	switch r := result.(type) {
	case backend.Complete:
		s.update(now, leased, func(d *Limiter) { d.RecordSuccess(now, t.Job.ID, r.HeaderLatency, cost, r.Boot) })
	case backend.Refused:
		o.refused(s, t, r)
		return Rejected{Rejection: Rejection{Reason: outcome.NoTarget, Text: "target refused: " + r.Reason, RetryAfter: minRetry}}
	case backend.Unreachable:
		s.update(now, leased, func(d *Limiter) { d.RecordUnreachable(now, t.Job.ID) })
		o.attempts.unsent(t.Job.ID)
		return Rejected{Rejection: Rejection{Reason: outcome.NoTarget, Text: "target cannot be reached", RetryAfter: leaseRetry}}
	case backend.Incomplete:
		s.update(now, leased, func(d *Limiter) {
			d.RecordError(now, r.Boot)
			d.Abandon(t.Job.ID, t.Deadline)
		})
		go o.giveUp(s, t)
	}
	return Executed{Result: result, Elapsed: cost}
}

func (o *Owner) refused(s *station, t Task, r backend.Refused) {
	now := o.cfg.Now()
	s.update(now, o.cfg.HasLease(now), func(d *Limiter) {
		d.FreeSlot(t.Job.ID)
		d.RecordError(now, r.Boot)
	})
	o.attempts.unsent(t.Job.ID)
	if r.Draining {
		o.cfg.OnTargetLeaving(t.Target)
	}
}

// giveUp cancels an abandoned attempt at the target; until that is confirmed the attempt counts.
func (o *Owner) giveUp(s *station, t Task) {
	for range cancelTries {
		if o.cfg.Backend.Cancel(context.Background(), t.Address, t.Job.ID) == nil {
			now := o.cfg.Now()
			s.update(now, o.cfg.HasLease(now), func(d *Limiter) { d.FreeSlot(t.Job.ID) })
			return
		}
		time.Sleep(cancelPause)
	}
}
