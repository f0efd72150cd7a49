package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// overdueFactor and overdueExtra say when a call is taken to be stuck: beyond the spread of sound calls.
	overdueFactor = 1.6
	overdueExtra  = 150 * time.Millisecond
	// abandonFactor ends a call; targets that are slow by less still end theirs.
	abandonFactor = 8
	// maxTries bounds the calls that one piece may be in.
	maxTries = 3
	// freeEvery collects results that are given up into one call.
	freeEvery = 20 * time.Millisecond
	// freeTimeout bounds that call; a result that it misses ends by its own time.
	freeTimeout = time.Second
	// fetchTime is how long a target takes at most from the start of a call to have fetched the inputs of its pieces:
	// a few round trips and some megabytes over a link of gigabits.
	fetchTime = 40 * time.Millisecond
	// aliveEvery is how often a desk says that it still works on a group.
	aliveEvery = 300 * time.Millisecond
	// lookEvery is how often a line whose targets hold unknown results is looked at again.
	lookEvery = 200 * time.Millisecond
	// readyWait is how long a group waits for the first configuration of a node: it is there some 20 ms after the start
	// if the store answers. It is below the time after which a desk counts as silent.
	readyWait = 200 * time.Millisecond
	// askTimeout bounds the question for a target's space.
	askTimeout = 300 * time.Millisecond
)

// The reasons for which a desk takes no groups; another desk may do the work.
var (
	ErrNoConfig = merry.Sentinel("desk has no configuration yet")
	ErrDraining = merry.Sentinel("desk is leaving")
)

// TargetClient makes the calls of stage targets.
type TargetClient interface {
	// RunBatch makes one call. An error means that no piece has a result.
	RunBatch(ctx context.Context, now time.Time, t registry.Target, terms route.BatchProfile, pieces []batch.Piece) (batch.Reply, error)
	// AvailableSpace asks a target what it has left for results.
	AvailableSpace(ctx context.Context, t registry.Target) (batch.Space, error)
	// Free gives results of one target up.
	Free(ctx context.Context, address string, handles []string) error
}

// Meter counts what a desk does.
type Meter interface {
	// RecordStageCall counts a call by its result, with its pieces and the most that it could have had.
	RecordStageCall(service, result string, pieces, places int, took time.Duration)
	// RecordRejectedGroup counts a group that was not begun.
	RecordRejectedGroup(service, why string)
	// SetQueuedPieces sets the number of pieces that wait.
	SetQueuedPieces(service string, pieces int)
}

// Config is what a desk is made of.
type Config struct {
	Targets TargetClient
	Table   func() *route.Table
	// Ready is closed once there is a table.
	Ready  <-chan struct{}
	Roster func() *registry.Registry
	Log    logrus.FieldLogger
	Now    func() time.Time
	Meter  Meter
	// AllowRetry asks the budget of the service for one more send of a piece.
	AllowRetry func(now time.Time, service string) bool
	// RecordFirstSend counts the first send of a piece.
	RecordFirstSend func(now time.Time, service string)
}

// Dispatcher queues pieces and fills the calls of targets.
type Dispatcher struct {
	cfg    Config
	mu     sync.Mutex
	lines  map[string]*line
	groups map[uint64]*group
	last   uint64
	frees  map[string][]string
	timer  *time.Timer
	// leaving tells that the node stops: other desks take new groups.
	leaving atomic.Bool
}

// New makes a desk without pieces.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, lines: map[string]*line{}, groups: map[uint64]*group{}, frees: map[string][]string{}}
}

// Drain has the desk decline new groups; those that it has are made.
func (d *Dispatcher) Drain() { d.leaving.Store(true) }

// await waits a little for the first configuration of a node that has just started, and tells as Declines does.
func (d *Dispatcher) await(ctx context.Context) error {
	wait := time.NewTimer(readyWait)
	defer wait.Stop()
	select {
	case <-d.cfg.Ready:
	case <-wait.C:
	case <-ctx.Done():
	}
	return d.CheckAccepting()
}

// CheckAccepting gives the reason for which the desk takes no groups now, nil if it does.
func (d *Dispatcher) CheckAccepting() error {
	switch {
	case d.leaving.Load():
		return ErrDraining
	case d.cfg.Table() == nil:
		return ErrNoConfig
	default:
		return nil
	}
}

// line is the pieces that wait for the targets of one shard of a service.
type line struct {
	*batch.Scheduler
	service string
	shard   string
	// looks tells that the line will be looked at again.
	looks bool
}

// group is the pieces of one stage of one request that are not all done.
type group struct {
	batch.Group
	id      uint64
	results []batch.Result
	pieces  []progress
	// left counts the pieces without an end; ready is closed with the last.
	left  int
	ready chan struct{}
	// unfetched counts the pieces whose inputs no target has fetched yet; begun is closed with the last.
	unfetched int
	begun     chan struct{}
}

// progress is how far a piece is.
type progress struct {
	done    bool
	sent    bool
	fetched bool
	// flying counts the calls that the piece is in.
	flying int
}

// Callbacks is told how far a group is.
type Callbacks struct {
	// OnQueued is called with the expected wait before the group's call.
	OnQueued func(wait time.Duration)
	// OnInputsFetched is called once the inputs of the group are no longer needed, unless a call fails.
	OnInputsFetched func()
	// OnHeartbeat is called every aliveEvery while the group waits; it may be nil.
	OnHeartbeat func()
}

// Produce queues a group and waits for its results.
func (d *Dispatcher) Produce(ctx context.Context, g batch.Group, n Callbacks) ([]batch.Result, error) {
	now := d.cfg.Now()
	d.mu.Lock()
	l := d.line(g.Service, g.Datacentre)
	terms, wait, err := d.admit(now, l, g)
	if err != nil {
		d.mu.Unlock()
		d.turned(now, g, "refused", err)
		return nil, err
	}
	d.last++
	x := &group{Group: g, id: d.last, results: make([]batch.Result, g.Count), pieces: make([]progress, g.Count), left: g.Count, ready: make(chan struct{}), unfetched: g.Count, begun: make(chan struct{})}
	d.groups[x.id] = x
	for i := range g.Count {
		l.Add(batch.Piece{Group: &x.Group, GroupID: x.id, Segment: i})
	}
	d.dispatch(now, l, terms)
	d.mu.Unlock()
	n.OnQueued(wait)
	begun := x.begun
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	expire := time.NewTimer(g.StartByDeadline.Sub(now) + time.Millisecond)
	defer expire.Stop()
	for {
		select {
		case <-x.ready:
			return x.results, nil
		case <-begun:
			begun = nil
			n.OnInputsFetched()
		case <-alive.C:
			if n.OnHeartbeat != nil {
				n.OnHeartbeat()
			}
		case <-expire.C:
			d.mu.Lock()
			d.late(d.cfg.Now(), l, terms)
			d.mu.Unlock()
		case <-ctx.Done():
			d.forget(x, l)
			return nil, ctx.Err()
		}
	}
}

// admit refuses a group that could not begin in time.
func (d *Dispatcher) admit(now time.Time, l *line, g batch.Group) (route.BatchProfile, time.Duration, error) {
	if d.cfg.Table() == nil {
		return route.BatchProfile{}, 0, ErrNoConfig
	}
	terms, ok := d.terms(g.Service)
	if !ok {
		return terms, 0, &batch.RefusedError{Reason: "service runs no stages"}
	}
	l.SetTargets(now, d.targets(l))
	d.ask(now, l, terms)
	wait, err := l.Admit(now, terms, g)
	return terms, wait, err
}

func (d *Dispatcher) terms(service string) (route.BatchProfile, bool) {
	t := d.cfg.Table()
	if t == nil {
		return route.BatchProfile{}, false
	}
	s, ok := t.Service(service)
	return s.Batch, ok && s.Batch.MaxSize > 0
}

func (d *Dispatcher) line(service, shard string) *line {
	key := service + "@" + shard
	l, ok := d.lines[key]
	if !ok {
		l = &line{Scheduler: batch.NewScheduler(), service: service, shard: shard}
		d.lines[key] = l
	}
	return l
}

// targets lists the targets of a line in the roster in force.
func (d *Dispatcher) targets(l *line) []registry.Target {
	list := d.cfg.Roster().Usable(l.service)
	if l.shard == "" {
		return list
	}
	var near []registry.Target
	for _, t := range list {
		if t.Datacentre == l.shard {
			near = append(near, t)
		}
	}
	return near
}

// Refresh looks at every line again after the roster has changed.
func (d *Dispatcher) Refresh() {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lines {
		if l.Len() == 0 {
			continue
		}
		if terms, ok := d.terms(l.service); ok {
			l.SetTargets(now, d.targets(l))
			d.ask(now, l, terms)
			d.dispatch(now, l, terms)
		}
	}
}

// dispatch begins the calls that can begin; the lock is held.
func (d *Dispatcher) dispatch(now time.Time, l *line, terms route.BatchProfile) {
	d.late(now, l, terms)
	l.StartRound()
	for {
		c, ok := l.NextCall(now, terms)
		if !ok {
			return
		}
		for _, p := range c.Pieces {
			g := d.groups[p.GroupID]
			if g == nil {
				continue
			}
			x := &g.pieces[p.Segment]
			x.flying++
			if !x.sent {
				x.sent = true
				d.cfg.RecordFirstSend(now, l.service)
			}
			if c.StartsAtOnce {
				d.fetched(g, p.Segment)
			}
		}
		d.began(l, c, terms)
		go d.run(l, c, terms)
	}
}

// began logs a call with the requests whose pieces are in it.
func (d *Dispatcher) began(l *line, c *batch.Call, terms route.BatchProfile) {
	d.cfg.Meter.SetQueuedPieces(l.service, l.Len())
	d.cfg.Log.WithFields(logrus.Fields{
		"service": l.service, "target": c.Target.ID, "datacentre": c.Target.Datacentre, "revision": c.Target.Version, "pieces": len(c.Pieces), "places": terms.MaxSize,
		"waiting": c.QueueLength, "held": c.HeldBytes, "hidden": c.UntrackedBytes, "sure": c.StartsAtOnce, "expected_ms": c.Expected.Milliseconds(), "requests": c.Requests(),
	}).Info("desk: stage call begun")
}

// turned logs and counts a group that is not begun.
func (d *Dispatcher) turned(now time.Time, g batch.Group, why string, err error) {
	d.cfg.Meter.RecordRejectedGroup(g.Service, why)
	fields := logrus.Fields{
		"request": g.Request, "service": g.Service, "stage": g.Stage, "pieces": g.Count, "priority": g.Priority,
		"aim_ms": g.StartByObjective.Sub(now).Milliseconds(), "last_ms": g.StartByDeadline.Sub(now).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	d.cfg.Log.WithFields(fields).Info("desk: group " + why)
}

// fetched says that a target has the inputs of a piece, or will have in a moment; the lock is held.
func (d *Dispatcher) fetched(g *group, segment int) {
	if g.pieces[segment].fetched {
		return
	}
	g.pieces[segment].fetched = true
	g.unfetched--
	if g.unfetched == 0 {
		time.AfterFunc(fetchTime, func() { close(g.begun) })
	}
}

// ask has the targets tell their space of which it is not known; the lock is held.
func (d *Dispatcher) ask(now time.Time, l *line, terms route.BatchProfile) {
	for _, t := range l.TargetsToProbe(now) {
		go d.space(l, terms, t)
	}
}

func (d *Dispatcher) space(l *line, terms route.BatchProfile, t registry.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	free, err := d.cfg.Targets.AvailableSpace(ctx, t)
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": l.service, "target": t.ID}).Warn("desk: target does not tell its space, it is taken to be free")
		l.RecordProbeFailure(t)
	} else {
		l.RecordSpace(now, terms, t, free)
		d.cfg.Log.WithFields(logrus.Fields{"service": l.service, "target": t.ID, "least": free.Min, "most": free.Max, "room": terms.ResultSpace}).Info("desk: space of a target")
	}
	d.look(l)
	d.dispatch(now, l, terms)
}

// look has a line looked at again while its targets hold unknown results; the lock is held.
func (d *Dispatcher) look(l *line) {
	if l.looks || !l.HasUntracked(d.cfg.Now()) {
		return
	}
	l.looks = true
	time.AfterFunc(lookEvery, func() {
		d.mu.Lock()
		l.looks = false
		d.mu.Unlock()
		d.Refresh()
	})
}
