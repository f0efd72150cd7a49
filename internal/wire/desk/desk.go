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

// queue is the waiting pieces of one shard of a service, and its targets.
type queue struct {
	service string
	shard   string
	waiting batch.Queue
	lanes   map[string]*lane
	// passed are the targets for which nothing waits in this round.
	passed map[string]bool
}

// homes gives for each data centre when its next target is free.
func (q *queue) homes(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for _, l := range q.lanes {
		if l.slowness(now) >= slowFrom {
			continue
		}
		at := now
		if l.busy {
			at = l.freeAt
		}
		if l.avoid.After(at) {
			at = l.avoid
		}
		if before, ok := list[l.target.Datacentre]; !ok || at.Before(before) {
			list[l.target.Datacentre] = at
		}
	}
	return list
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

// lane is what the desk knows of one target.
type lane struct {
	target roster.Target
	busy   bool
	freeAt time.Time
	avoid  time.Time
	fails  int
	// slow is the measured over the expected time of calls, at the time measured.
	slow     float64
	measured time.Time
	held     map[string]holding
	used     int64
	// hidden is space that results of which this desk knows nothing held at a time; they end by their own time.
	hidden   int64
	hiddenAt time.Time
}

// holding is the space of one result.
type holding struct {
	bytes int64
	until time.Time
}

// slowness is the ratio by which calls take longer than expected, fading to 1.
func (l *lane) slowness(now time.Time) float64 {
	if l.slow <= 1 {
		return 1
	}
	faded := l.slow - 1
	for t := now.Sub(l.measured); t > slowForget; t -= slowForget {
		faded /= 2
	}
	return 1 + faded
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

// free gives for each target when it can begin a call.
func (q *queue) free(now time.Time) []time.Time {
	var list []time.Time
	for _, l := range q.lanes {
		at := now
		if l.busy {
			at = l.freeAt
		}
		if l.avoid.After(at) {
			at = l.avoid
		}
		list = append(list, at)
	}
	return list
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

// full notes that the target lacked so many bytes for results: results that this desk does not know of hold them.
//
// It answers a desk that took over from a node that is gone, whose results stay at the targets until their time ends.
func (l *lane) full(now time.Time, terms route.Batch, lacked int64) {
	l.hidden = l.unknown(now, terms) + lacked
	l.hiddenAt = now
}

// unknown is the space that unknown results still hold.
func (l *lane) unknown(now time.Time, terms route.Batch) int64 {
	left := terms.Keep - now.Sub(l.hiddenAt)
	if l.hidden == 0 || left <= 0 {
		return 0
	}
	return int64(float64(l.hidden) * left.Seconds() / terms.Keep.Seconds())
}

// room is the bytes that results hold at the target.
func (l *lane) room(now time.Time, terms route.Batch) int64 {
	for h, x := range l.held {
		if now.After(x.until) {
			delete(l.held, h)
			l.used -= x.bytes
		}
	}
	return l.used + l.unknown(now, terms)
}

// next chooses the target of the next call, nil if none should begin one.
//
// It answers targets that turn slow: one of those gets a call only where more waits than the sound ones take in
// the time that it loses.
func (q *queue) next(now time.Time, terms route.Batch) *lane {
	var best *lane
	sound := 0
	for _, l := range q.lanes {
		if l.slowness(now) < slowFrom && !now.Before(l.avoid) {
			sound++
		}
	}
	for _, l := range q.lanes {
		if l.busy || q.passed[l.target.ID] || now.Before(l.avoid) || terms.Room-l.room(now, terms) <= 0 {
			continue
		}
		s := l.slowness(now)
		if s >= slowFrom && float64(q.waiting.Len()) < (s-1)*float64(sound*terms.Size) {
			continue
		}
		if best == nil || better(l, best, now) {
			best = l
		}
	}
	return best
}

func better(a, b *lane, now time.Time) bool {
	if sa, sb := a.slowness(now) >= slowFrom, b.slowness(now) >= slowFrom; sa != sb {
		return !sa
	}
	if a.used != b.used {
		return a.used < b.used
	}
	return a.target.ID < b.target.ID
}

// run makes one call and settles its pieces.
func (d *Desk) run(q *queue, l *lane, t roster.Target, terms route.Batch, pieces []batch.Piece, started time.Time, expected time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonFactor*expected+overdueExtra)
	defer cancel()
	overdue := time.AfterFunc(time.Duration(overdueFactor*float64(expected))+overdueExtra, func() { d.overdue(q, l, terms, pieces) })
	results, err := d.cfg.Caller.Run(ctx, started, t, terms, pieces)
	overdue.Stop()
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l.busy = false
	for _, p := range pieces {
		l.used -= p.Bytes
		if g := d.groups[p.Group]; g != nil {
			g.flying[p.Segment]--
		}
	}
	if err != nil {
		d.failed(now, q, l, pieces, err)
	} else {
		l.fails = 0
		l.slow = float64(now.Sub(started)-sendMargin) / float64(terms.Took(len(pieces)))
		l.measured = now
		var lacked int64
		for i, p := range pieces {
			d.settle(now, q, l, terms, p, results[i])
			if results[i].Reason == Full {
				lacked += p.Bytes
			}
		}
		if lacked > 0 {
			l.full(now, terms, lacked)
			d.look(l, terms)
		}
	}
	d.dispatch(now, q, terms)
}

// look looks at the queues again and again while unknown results fade at a target.
func (d *Desk) look(l *lane, terms route.Batch) {
	time.AfterFunc(terms.Keep/fullSteps, func() {
		d.Changed()
		d.mu.Lock()
		defer d.mu.Unlock()
		if l.unknown(d.cfg.Now(), terms) > 0 {
			d.look(l, terms)
		}
	})
}

// settle takes the result of one piece; the lock is held.
func (d *Desk) settle(now time.Time, q *queue, l *lane, terms route.Batch, p batch.Piece, r Result) {
	g := d.groups[p.Group]
	if r.Reason == Made {
		l.held[r.Handle] = holding{bytes: p.Bytes, until: now.Add(terms.Keep)}
		l.used += p.Bytes
		if g == nil || g.done[p.Segment] {
			d.free(l.target.Address, r.Handle)
			return
		}
	}
	if g == nil || g.done[p.Segment] {
		return
	}
	if r.Reason != Made && d.elsewhere(p) {
		return
	}
	if r.Reason == Full && !now.After(p.Last) {
		q.waiting.Add(p)
		return
	}
	if r.Reason == Failed && d.again(now, q, p) {
		return
	}
	d.finish(g, p.Segment, r)
}

// again queues a piece once more if tries and budget allow it.
func (d *Desk) again(now time.Time, q *queue, p batch.Piece) bool {
	if p.Tries+1 >= maxTries || now.After(p.Last) || !d.cfg.Repeat(now, q.service) {
		return false
	}
	p.Tries++
	q.waiting.Add(p)
	return true
}

func (d *Desk) finish(g *group, segment int, r Result) {
	g.done[segment] = true
	g.results[segment] = r
	g.left--
	if g.left == 0 {
		delete(d.groups, g.id)
		close(g.ready)
	}
}

// failed leaves the target alone for a while and sends its pieces elsewhere; the lock is held.
func (d *Desk) failed(now time.Time, q *queue, l *lane, pieces []batch.Piece, err error) {
	l.fails++
	wait := min(avoidMax, avoidMin<<min(l.fails-1, 8))
	l.avoid = now.Add(wait)
	time.AfterFunc(wait, d.Changed)
	d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"service": q.service, "target": l.target.ID, "pieces": len(pieces), "fails": l.fails, "avoid_ms": wait.Milliseconds(),
	}).Warn("desk: stage call failed")
	for _, p := range pieces {
		g := d.groups[p.Group]
		if g == nil || g.done[p.Segment] || d.elsewhere(p) {
			continue
		}
		if !d.again(now, q, p) {
			d.finish(g, p.Segment, Result{Reason: Failed})
		}
	}
}

// elsewhere tells whether a piece is in another call still, which may bring its result; the lock is held.
func (d *Desk) elsewhere(p batch.Piece) bool {
	g := d.groups[p.Group]
	return g != nil && g.flying[p.Segment] > 0
}

// overdue sends the pieces of a call that seems stuck elsewhere; whichever result comes first counts. Pieces with
// inputs are left where they are: once a target has fetched those they are freed.
func (d *Desk) overdue(q *queue, l *lane, terms route.Batch, pieces []batch.Piece) {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := 0
	for _, p := range pieces {
		if g := d.groups[p.Group]; g != nil && !g.done[p.Segment] && len(p.Inputs) == 0 && d.again(now, q, p) {
			sent++
		}
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": q.service, "target": l.target.ID, "pieces": len(pieces), "again": sent,
	}).Warn("desk: stage call is overdue")
	d.dispatch(now, q, terms)
}

// expire ends the pieces that wait for nothing; the lock is held.
func (d *Desk) expire(now time.Time, q *queue) {
	for _, p := range q.waiting.Expire(now) {
		d.giveUp(q, p.Group)
	}
}

// giveUp ends a group at once, of which one piece cannot be made in time: the others alone are of no use.
func (d *Desk) giveUp(q *queue, id uint64) {
	g := d.groups[id]
	if g == nil {
		return
	}
	q.waiting.Drop(id)
	for i := range g.done {
		if !g.done[i] {
			d.finish(g, i, Result{Reason: Late})
		}
	}
}

// forget drops a group that nobody waits for, and its results.
func (d *Desk) forget(g *group, q *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.waiting.Drop(g.id)
	delete(d.groups, g.id)
	for _, r := range g.results {
		if r.Handle != "" {
			d.free(address(r.Handle), r.Handle)
		}
	}
}
