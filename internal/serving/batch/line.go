package batch

import (
	"strconv"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
)

// Line is the pieces that wait for the targets of a service, or of one data centre's part of it, and these targets.
type Line struct {
	waiting Queue
	lanes   map[string]*lane
	// passed are the targets for which nothing waits in this round.
	passed map[string]bool
}

// NewLine is a line without targets.
func NewLine() *Line { return &Line{lanes: map[string]*lane{}, passed: map[string]bool{}} }

// Call is what one target is given at once.
type Call struct {
	Target  roster.Target
	Pieces  []Piece
	Started time.Time
	// Expected is how long the call takes by what is known of the target.
	Expected time.Duration
	// Ahead is the number of pieces that wait on.
	Ahead int
	lane  *lane
}

// Requests names the requests whose pieces are in the call, each once for every stage, as REQUEST/STAGE.
func (c *Call) Requests() []string {
	var list []string
	seen := make(map[*Group]bool, len(c.Pieces))
	for _, p := range c.Pieces {
		if !seen[p.Group] {
			seen[p.Group] = true
			list = append(list, p.Request+"/"+strconv.Itoa(p.Stage))
		}
	}
	return list
}

// Len is the number of waiting pieces.
func (l *Line) Len() int { return l.waiting.Len() }

// Refresh takes these targets for those that may be sent work; a target that has started again holds nothing.
func (l *Line) Refresh(targets []roster.Target) {
	usable := make(map[string]bool, len(targets))
	for _, t := range targets {
		usable[t.ID] = true
		x, ok := l.lanes[t.ID]
		if !ok || x.target.Born != t.Born {
			x = &lane{held: map[string]holding{}}
			l.lanes[t.ID] = x
		}
		x.target = t
	}
	for id := range l.lanes {
		if !usable[id] {
			delete(l.lanes, id)
		}
	}
}

// Admit gives the expected wait of a group, or a *Refused error if it could not begin in time.
func (l *Line) Admit(now time.Time, terms route.Batch, g Group) (time.Duration, error) {
	start, ok := l.waiting.Start(now, g.Count, g.Priority, terms, l.free(now))
	if !ok {
		return 0, &Refused{Why: "stage service has no targets"}
	}
	if start.After(g.Last) {
		return 0, &Refused{Why: "stage service is full", Wait: start.Sub(now)}
	}
	return start.Sub(now), nil
}

// Add has pieces wait.
func (l *Line) Add(p ...Piece) { l.waiting.Add(p...) }

// Drop removes the waiting pieces of a group.
func (l *Line) Drop(id uint64) { l.waiting.Drop(id) }

// Late removes and gives the pieces that cannot begin in time any more.
func (l *Line) Late(now time.Time, terms route.Batch) []Piece {
	return append(l.waiting.Expire(now), l.waiting.Hopeless(now, terms, l.free(now))...)
}

// Round begins a round of Begin calls: every target may be asked again.
func (l *Line) Round() { clear(l.passed) }

// Begin takes the next call out of the line; false if none should begin now.
func (l *Line) Begin(now time.Time, terms route.Batch) (*Call, bool) {
	for l.waiting.Len() > 0 {
		x := l.next(now, terms)
		if x == nil {
			return nil, false
		}
		room := terms.Room - x.room(now, terms)
		pieces := l.waiting.Take(now, terms.Size, room, x.target.Datacentre, l.homes(now))
		if len(pieces) == 0 {
			l.passed[x.target.ID] = true
			continue
		}
		expected := time.Duration(float64(terms.Took(len(pieces))) * x.slowness(now))
		x.busy = true
		x.freeAt = now.Add(expected)
		for _, p := range pieces {
			x.used += p.Bytes
		}
		return &Call{Target: x.target, Pieces: pieces, Started: now, Expected: expected, Ahead: l.waiting.Len(), lane: x}, true
	}
	return nil, false
}

// next chooses the target of the next call, nil if none should begin one.
//
// It answers targets that turn slow: one of those gets a call only where more waits than the sound ones take in
// the time that it loses.
func (l *Line) next(now time.Time, terms route.Batch) *lane {
	var best *lane
	sound := 0
	for _, x := range l.lanes {
		if x.slowness(now) < slowFrom && !now.Before(x.avoid) {
			sound++
		}
	}
	for _, x := range l.lanes {
		if x.busy || l.passed[x.target.ID] || now.Before(x.avoid) || terms.Room-x.room(now, terms) <= 0 {
			continue
		}
		s := x.slowness(now)
		if s >= slowFrom && float64(l.waiting.Len()) < (s-1)*float64(sound*terms.Size) {
			continue
		}
		if best == nil || x.before(best, now) {
			best = x
		}
	}
	return best
}

// homes gives for each data centre when its next target is free.
func (l *Line) homes(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for _, x := range l.lanes {
		if x.slowness(now) >= slowFrom {
			continue
		}
		at := x.begins(now)
		if before, ok := list[x.target.Datacentre]; !ok || at.Before(before) {
			list[x.target.Datacentre] = at
		}
	}
	return list
}

// free gives for each target when it can begin a call.
func (l *Line) free(now time.Time) []time.Time {
	list := make([]time.Time, 0, len(l.lanes))
	for _, x := range l.lanes {
		list = append(list, x.begins(now))
	}
	return list
}

// end says that a call is over.
func (c *Call) end() {
	c.lane.busy = false
	for _, p := range c.Pieces {
		c.lane.used -= p.Bytes
	}
}

// Fail says that a call brought no results; the target is left alone for the time given.
func (c *Call) Fail(now time.Time) (avoid time.Duration, fails int) {
	c.end()
	c.lane.fails++
	avoid = min(avoidMax, avoidMin<<min(c.lane.fails-1, 8))
	c.lane.avoid = now.Add(avoid)
	return avoid, c.lane.fails
}

// End says that a call brought results; it tells whether the target lacked space for some.
func (c *Call) End(now time.Time, terms route.Batch, results []Result) (full bool) {
	c.end()
	c.lane.fails = 0
	c.lane.slow = float64(now.Sub(c.Started)-sendMargin) / float64(terms.Took(len(c.Pieces)))
	c.lane.measured = now
	var lacked int64
	for i, p := range c.Pieces {
		switch results[i].Reason {
		case Made:
			c.lane.held[results[i].Handle] = holding{bytes: p.Bytes, until: now.Add(terms.Keep)}
			c.lane.used += p.Bytes
		case Full:
			lacked += p.Bytes
		}
	}
	if lacked > 0 {
		c.lane.full(now, terms, lacked)
	}
	return lacked > 0
}

// Unknown is the space at the call's target that results hold of which the line knows nothing.
func (c *Call) Unknown(now time.Time, terms route.Batch) int64 { return c.lane.unknown(now, terms) }

// Freed says that a target holds some results no longer.
func (l *Line) Freed(address string, handles []string) {
	for _, x := range l.lanes {
		if x.target.Address != address {
			continue
		}
		for _, h := range handles {
			if held, ok := x.held[h]; ok {
				delete(x.held, h)
				x.used -= held.bytes
			}
		}
	}
}
