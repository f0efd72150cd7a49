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
	// avoidMin and avoidMax bound how long a target is left alone after a failure.
	avoidMin = 150 * time.Millisecond
	avoidMax = 2 * time.Second
	// freeEvery collects results that are given up into one call.
	freeEvery = 20 * time.Millisecond
	// freeTimeout bounds that call; a result that it misses ends by its own time.
	freeTimeout = time.Second
	// slowFrom is the ratio of measured to expected time from which a target counts as slow.
	slowFrom = 1.5
	// slowForget is the time in which half of a measured slowness is forgotten, so that the target is tried again.
	slowForget = 3 * time.Second
	// fetchTime is how long a target takes at most from the start of a call to have fetched the inputs of its pieces:
	// a few round trips and some megabytes over a link of gigabits.
	fetchTime = 40 * time.Millisecond
	// aliveEvery is how often a desk says that it still works on a group.
	aliveEvery = 300 * time.Millisecond
	// fullSteps is into how many looks the time is cut that unknown results may stay at a full target.
	fullSteps = 8
	// sendMargin is the time that a call and its answer spend on the way.
	sendMargin = 5 * time.Millisecond
)

// ErrUnready is the error of a desk whose node has no configuration yet; another desk may do the work.
var ErrUnready = merry.Sentinel("desk has no configuration yet")

// Caller makes the calls of stage targets.
type Caller interface {
	// Run makes one call; the results are in the order of the pieces. An error means that no piece has a result.
	Run(ctx context.Context, now time.Time, t roster.Target, terms route.Batch, pieces []batch.Piece) ([]Result, error)
	// Free gives results of one target up.
	Free(ctx context.Context, address string, handles []string) error
}

// Config is what a desk is made of.
type Config struct {
	Caller Caller
	Table  func() *route.Table
	Roster func() *roster.Roster
	Log    logrus.FieldLogger
	Now    func() time.Time
	// Repeat asks the budget of the service for one more send of a piece.
	Repeat func(now time.Time, service string) bool
	// Sent counts the first send of a piece.
	Sent func(now time.Time, service string)
}

// Desk queues pieces and fills the calls of targets.
type Desk struct {
	cfg    Config
	mu     sync.Mutex
	queues map[string]*queue
	groups map[uint64]*group
	last   uint64
	frees  map[string][]string
	timer  *time.Timer
}

// New makes a desk without pieces.
func New(cfg Config) *Desk {
	return &Desk{cfg: cfg, queues: map[string]*queue{}, groups: map[uint64]*group{}, frees: map[string][]string{}}
}

// group is the pieces of one stage of one request that are not all done.
type group struct {
	Group
	id      uint64
	results []Result
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
func (d *Desk) Produce(ctx context.Context, g Group, n Notice) ([]Result, error) {
	now := d.cfg.Now()
	d.mu.Lock()
	q := d.queue(g.Service, g.Shard)
	terms, wait, err := d.admit(now, q, g)
	if err != nil {
		d.mu.Unlock()
		return nil, err
	}
	d.last++
	x := &group{Group: g, id: d.last, results: make([]Result, g.Count), done: make([]bool, g.Count), left: g.Count, ready: make(chan struct{}), unsent: g.Count, begun: make(chan struct{}), flying: make([]int, g.Count)}
	d.groups[x.id] = x
	for i := range g.Count {
		q.waiting.Add(x.piece(i, 0))
	}
	d.dispatch(now, q, terms)
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
			d.expire(d.cfg.Now(), q)
			d.mu.Unlock()
		case <-ctx.Done():
			d.forget(x, q)
			return nil, ctx.Err()
		}
	}
}

func (g *group) piece(i, tries int) batch.Piece {
	return batch.Piece{
		Group: g.id, Request: g.Request, Stage: g.Stage, Segment: i, Key: g.Key, Inputs: g.Inputs, Bytes: g.Bytes,
		Priority: g.Priority, Prompt: g.Prompt, Last: g.Last, Home: g.Home, Weight: g.Weight, Tries: tries,
	}
}

// admit refuses a group that could not begin in time.
func (d *Desk) admit(now time.Time, q *queue, g Group) (route.Batch, time.Duration, error) {
	if d.cfg.Table() == nil {
		return route.Batch{}, 0, ErrUnready
	}
	terms, ok := d.terms(g.Service)
	if !ok {
		return terms, 0, &Refused{Why: "service runs no stages"}
	}
	d.refresh(q)
	start, ok := q.waiting.Start(now, g.Count, g.Priority, terms, q.free(now))
	if !ok {
		return terms, 0, &Refused{Why: "stage service has no targets"}
	}
	if start.After(g.Last) {
		return terms, 0, &Refused{Why: "stage service is full", Wait: start.Sub(now)}
	}
	return terms, start.Sub(now), nil
}

func (d *Desk) terms(service string) (route.Batch, bool) {
	t := d.cfg.Table()
	if t == nil {
		return route.Batch{}, false
	}
	s, ok := t.Service(service)
	return s.Batch, ok && s.Batch.Size > 0
}

func (d *Desk) queue(service, shard string) *queue {
	key := service + "@" + shard
	q, ok := d.queues[key]
	if !ok {
		q = &queue{service: service, shard: shard, lanes: map[string]*lane{}, passed: map[string]bool{}}
		d.queues[key] = q
	}
	return q
}

// refresh takes the targets of the roster in force.
func (d *Desk) refresh(q *queue) {
	usable := map[string]bool{}
	for _, t := range d.cfg.Roster().Usable(q.service) {
		if q.shard != "" && t.Datacentre != q.shard {
			continue
		}
		usable[t.ID] = true
		l, ok := q.lanes[t.ID]
		if !ok || l.target.Born != t.Born {
			l = &lane{held: map[string]holding{}}
			q.lanes[t.ID] = l
		}
		l.target = t
	}
	for id := range q.lanes {
		if !usable[id] {
			delete(q.lanes, id)
		}
	}
}

// Changed looks at every queue again after the roster has changed.
func (d *Desk) Changed() {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		if q.waiting.Len() == 0 {
			continue
		}
		if terms, ok := d.terms(q.service); ok {
			d.refresh(q)
			d.dispatch(now, q, terms)
		}
	}
}

// dispatch begins the calls that can begin; the lock is held.
func (d *Desk) dispatch(now time.Time, q *queue, terms route.Batch) {
	d.expire(now, q)
	for _, p := range q.waiting.Hopeless(now, terms, q.free(now)) {
		d.giveUp(q, p.Group)
	}
	clear(q.passed)
	for q.waiting.Len() > 0 {
		l := q.next(now, terms)
		if l == nil {
			return
		}
		room := terms.Room - l.room(now, terms)
		pieces := q.waiting.Take(now, terms.Size, room, l.target.Datacentre, q.homes(now))
		if len(pieces) == 0 {
			q.passed[l.target.ID] = true
			continue
		}
		l.busy = true
		expected := time.Duration(float64(terms.Took(len(pieces))) * l.slowness(now))
		l.freeAt = now.Add(expected)
		for _, p := range pieces {
			l.used += p.Bytes
			if g := d.groups[p.Group]; g != nil {
				g.flying[p.Segment]++
			}
			if p.Tries == 0 {
				d.cfg.Sent(now, q.service)
				d.sent(p.Group)
			}
		}
		go d.run(q, l, l.target, terms, pieces, now, expected)
	}
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
