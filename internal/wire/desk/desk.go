package desk

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
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
	// fullSteps is into how many looks the time is cut that unknown results may stay at a full target.
	fullSteps = 8
)

// ErrUnready is the error of a desk whose node has no configuration yet; another desk may do the work.
var ErrUnready = merry.Sentinel("desk has no configuration yet")

// Caller makes the calls of stage targets.
type Caller interface {
	// Run makes one call; the results are in the order of the pieces. An error means that no piece has a result.
	Run(ctx context.Context, now time.Time, t roster.Target, terms route.Batch, pieces []batch.Piece) ([]batch.Result, error)
	// Free gives results of one target up.
	Free(ctx context.Context, address string, handles []string) error
}

// Meter counts what a desk does.
type Meter interface {
	// Call counts a call by its result, with its pieces and the most that it could have had.
	Call(service, result string, pieces, places int, took time.Duration)
	// Turned counts a group that was not begun.
	Turned(service, why string)
	// Waiting sets the number of pieces that wait.
	Waiting(service string, pieces int)
}

// Config is what a desk is made of.
type Config struct {
	Caller Caller
	Table  func() *route.Table
	Roster func() *roster.Roster
	Log    logrus.FieldLogger
	Now    func() time.Time
	Meter  Meter
	// Repeat asks the budget of the service for one more send of a piece.
	Repeat func(now time.Time, service string) bool
	// Sent counts the first send of a piece.
	Sent func(now time.Time, service string)
}

// Desk queues pieces and fills the calls of targets.
type Desk struct {
	cfg    Config
	mu     sync.Mutex
	lines  map[string]*line
	groups map[uint64]*group
	last   uint64
	frees  map[string][]string
	timer  *time.Timer
}

// New makes a desk without pieces.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg, lines: map[string]*line{}, groups: map[uint64]*group{}, frees: map[string][]string{}}
}

// line is the pieces that wait for the targets of one shard of a service.
type line struct {
	*batch.Line
	service string
	shard   string
}

// group is the pieces of one stage of one request that are not all done.
type group struct {
	batch.Group
	id      uint64
	results []batch.Result
	done    []bool
	left    int
	ready   chan struct{}
	// unsent counts the pieces that have been in no call yet; begun is closed once targets have fetched the
	// inputs of all.
	unsent int
	begun  chan struct{}
	// flying counts the calls that each piece is in.
	flying []int
}

// Notice is told how far a group is.
type Notice struct {
	// Queued is called with the expected wait before the group's call.
	Queued func(wait time.Duration)
	// Begun is called once the inputs of the group are no longer needed, unless a call fails.
	Begun func()
	// Alive is called every aliveEvery while the group waits; it may be nil.
	Alive func()
}

// Produce queues a group and waits for its results.
func (d *Desk) Produce(ctx context.Context, g batch.Group, n Notice) ([]batch.Result, error) {
	now := d.cfg.Now()
	d.mu.Lock()
	l := d.line(g.Service, g.Shard)
	terms, wait, err := d.admit(now, l, g)
	if err != nil {
		d.mu.Unlock()
		d.turned(now, g, "refused", err)
		return nil, err
	}
	d.last++
	x := &group{Group: g, id: d.last, results: make([]batch.Result, g.Count), done: make([]bool, g.Count), left: g.Count, ready: make(chan struct{}), unsent: g.Count, begun: make(chan struct{}), flying: make([]int, g.Count)}
	d.groups[x.id] = x
	for i := range g.Count {
		l.Add(batch.Piece{Group: &x.Group, ID: x.id, Segment: i})
	}
	d.dispatch(now, l, terms)
	d.mu.Unlock()
	n.Queued(wait)
	begun := x.begun
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	expire := time.NewTimer(g.Last.Sub(now) + time.Millisecond)
	defer expire.Stop()
	for {
		select {
		case <-x.ready:
			return x.results, nil
		case <-begun:
			begun = nil
			n.Begun()
		case <-alive.C:
			if n.Alive != nil {
				n.Alive()
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
func (d *Desk) admit(now time.Time, l *line, g batch.Group) (route.Batch, time.Duration, error) {
	if d.cfg.Table() == nil {
		return route.Batch{}, 0, ErrUnready
	}
	terms, ok := d.terms(g.Service)
	if !ok {
		return terms, 0, &batch.Refused{Why: "service runs no stages"}
	}
	l.Refresh(d.targets(l))
	wait, err := l.Admit(now, terms, g)
	return terms, wait, err
}

func (d *Desk) terms(service string) (route.Batch, bool) {
	t := d.cfg.Table()
	if t == nil {
		return route.Batch{}, false
	}
	s, ok := t.Service(service)
	return s.Batch, ok && s.Batch.Size > 0
}

func (d *Desk) line(service, shard string) *line {
	key := service + "@" + shard
	l, ok := d.lines[key]
	if !ok {
		l = &line{Line: batch.NewLine(), service: service, shard: shard}
		d.lines[key] = l
	}
	return l
}

// targets lists the targets of a line in the roster in force.
func (d *Desk) targets(l *line) []roster.Target {
	list := d.cfg.Roster().Usable(l.service)
	if l.shard == "" {
		return list
	}
	var near []roster.Target
	for _, t := range list {
		if t.Datacentre == l.shard {
			near = append(near, t)
		}
	}
	return near
}

// Changed looks at every line again after the roster has changed.
func (d *Desk) Changed() {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lines {
		if l.Len() == 0 {
			continue
		}
		if terms, ok := d.terms(l.service); ok {
			l.Refresh(d.targets(l))
			d.dispatch(now, l, terms)
		}
	}
}

// dispatch begins the calls that can begin; the lock is held.
func (d *Desk) dispatch(now time.Time, l *line, terms route.Batch) {
	d.late(now, l, terms)
	l.Round()
	for {
		c, ok := l.Begin(now, terms)
		if !ok {
			return
		}
		for _, p := range c.Pieces {
			if g := d.groups[p.ID]; g != nil {
				g.flying[p.Segment]++
			}
			if p.Tries == 0 {
				d.cfg.Sent(now, l.service)
				d.sent(p.ID)
			}
		}
		d.began(l, c, terms)
		go d.run(l, c, terms)
	}
}

// began logs a call with the requests whose pieces are in it.
func (d *Desk) began(l *line, c *batch.Call, terms route.Batch) {
	d.cfg.Meter.Waiting(l.service, l.Len())
	d.cfg.Log.WithFields(logrus.Fields{
		"service": l.service, "target": c.Target.ID, "revision": c.Target.Version, "pieces": len(c.Pieces), "places": terms.Size,
		"waiting": c.Ahead, "expected_ms": c.Expected.Milliseconds(), "requests": c.Requests(),
	}).Info("desk: stage call begun")
}

// turned logs and counts a group that is not begun.
func (d *Desk) turned(now time.Time, g batch.Group, why string, err error) {
	d.cfg.Meter.Turned(g.Service, why)
	fields := logrus.Fields{
		"request": g.Request, "service": g.Service, "stage": g.Stage, "pieces": g.Count, "priority": g.Priority,
		"aim_ms": g.Prompt.Sub(now).Milliseconds(), "last_ms": g.Last.Sub(now).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	d.cfg.Log.WithFields(fields).Info("desk: group " + why)
}

// sent counts a piece that is in its first call; the lock is held.
func (d *Desk) sent(id uint64) {
	g := d.groups[id]
	if g == nil {
		return
	}
	g.unsent--
	if g.unsent == 0 {
		time.AfterFunc(fetchTime, func() { close(g.begun) })
	}
}
