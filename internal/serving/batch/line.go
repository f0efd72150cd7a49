package batch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// Scheduler is the pieces that wait for the targets of a service, or of one data centre's part of it, and these targets.
type Scheduler struct {
	waiting Queue
	lanes   map[string]*lane
	// passed are the targets for which nothing waits in this round.
	passed map[string]bool
	// prompt is the part of the places of the last calls that went to pieces in time.
	prompt float64
}

// NewScheduler is a line without targets.
func NewScheduler() *Scheduler {
	return &Scheduler{lanes: map[string]*lane{}, passed: map[string]bool{}}
}

// Call is what one target is given at once.
type Call struct {
	Target  registry.Target
	Pieces  []Piece
	Started time.Time
	// Expected is how long the call takes by what is known of the target.
	Expected time.Duration
	// QueueLength is the number of pieces that wait on.
	QueueLength int
	// HeldBytes is what results were known to hold at the target before the call, Hidden what others were taken to.
	HeldBytes      int64
	UntrackedBytes int64
	// StartsAtOnce tells that the target is expected to begin at once, so that it soon has the inputs.
	StartsAtOnce bool
	lane         *lane
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
func (l *Scheduler) Len() int { return l.waiting.Len() }

// SetTargets takes these targets for those that may be sent work; a target that has started again holds nothing.
func (l *Scheduler) SetTargets(now time.Time, targets []registry.Target) {
	usable := make(map[string]bool, len(targets))
	for _, t := range targets {
		usable[t.ID] = true
		x, ok := l.lanes[t.ID]
		if !ok || x.target.StartedAt != t.StartedAt {
			x = &lane{held: map[string]holding{}, since: now}
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

// TargetsToProbe gives the targets that are to be asked now for the space that they have left.
//
// It answers a desk that took over from a node that is gone: what that node had made fills the targets until its time
// ends, and pieces sent there come back without a result after a whole call.
func (l *Scheduler) TargetsToProbe(now time.Time) []registry.Target {
	var list []registry.Target
	for _, x := range l.lanes {
		if x.settled && x.unknown(now) == 0 || (!x.asked.IsZero() && now.Sub(x.asked) < askEvery) {
			continue
		}
		x.asked = now
		list = append(list, x.target)
	}
	slices.SortFunc(list, func(a, b registry.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// HasUntracked tells whether targets are taken to hold results that the line does not know of.
func (l *Scheduler) HasUntracked(now time.Time) bool {
	for _, x := range l.lanes {
		if x.unknown(now) > 0 {
			return true
		}
	}
	return false
}

// Space is what a target says that it has left for results, in bytes: something between the two.
type Space struct {
	Min int64
	Max int64
}

// RecordSpace takes the space that a target says it has left.
func (l *Scheduler) RecordSpace(now time.Time, terms route.BatchProfile, t registry.Target, s Space) {
	x, ok := l.lanes[t.ID]
	if !ok || x.target.StartedAt != t.StartedAt {
		return
	}
	x.settled = true
	least, most := max(0, terms.ResultSpace-s.Max-x.used), max(0, terms.ResultSpace-s.Min-x.used)
	if known := x.unknown(now); known < least || known > most {
		x.hidden, x.hiddenAt, x.fade = min(max(known, least), most), now, max(x.fade, hiddenFor)
	}
}

// RecordProbeFailure says that a target did not tell its space; it is taken to be free until a call shows otherwise.
func (l *Scheduler) RecordProbeFailure(t registry.Target) {
	if x, ok := l.lanes[t.ID]; ok && x.target.StartedAt == t.StartedAt {
		x.settled = true
	}
}

// Admit gives the expected wait of a group, or a *Refused error if it could not begin in time.
func (l *Scheduler) Admit(now time.Time, terms route.BatchProfile, g Group) (time.Duration, error) {
	start, ok := l.waiting.EstimateStart(now, g.Count, g.Priority, terms, l.free(now))
	if !ok {
		return 0, &RefusedError{Reason: "stage service has no targets"}
	}
	if start.After(g.StartByDeadline) {
		return 0, &RefusedError{Reason: "stage service is full", Wait: start.Sub(now)}
	}
	return start.Sub(now), nil
}

// Add has pieces wait.
func (l *Scheduler) Add(p ...Piece) { l.waiting.Add(p...) }

// RemoveGroup removes the waiting pieces of a group.
func (l *Scheduler) RemoveGroup(id uint64) { l.waiting.RemoveGroup(id) }

// Expire removes and gives the pieces that cannot begin in time any more.
func (l *Scheduler) Expire(now time.Time, terms route.BatchProfile) []Piece {
	return append(l.waiting.Expire(now), l.waiting.ExpireStarved(now, terms, l.free(now), 1-l.prompt)...)
}

// StartRound begins a round of Begin calls: every target may be asked again.
func (l *Scheduler) StartRound() { clear(l.passed) }

// NextCall takes the next call out of the line; false if none should begin now.
func (l *Scheduler) NextCall(now time.Time, terms route.BatchProfile) (*Call, bool) {
	for l.waiting.Len() > 0 {
		x := l.next(now, terms)
		if x == nil {
			return nil, false
		}
		room := terms.ResultSpace - x.room(now)
		pieces := l.waiting.Take(now, terms.MaxSize, room, x.target.Datacentre, l.homes(now))
		if len(pieces) == 0 {
			l.passed[x.target.ID] = true
			continue
		}
		l.took(now, terms, pieces)
		expected := time.Duration(float64(terms.CallDuration(len(pieces))) * x.slowness(now))
		var bytes int64
		for _, p := range pieces {
			bytes += p.ResultBytes
		}
		c := &Call{
			Target: x.target, Pieces: pieces, Started: now, Expected: expected, QueueLength: l.waiting.Len(),
			HeldBytes: x.used, UntrackedBytes: x.unknown(now), StartsAtOnce: x.sure(now), lane: x,
		}
		x.busy = true
		x.freeAt = now.Add(expected)
		x.used += bytes
		return c, true
	}
	return nil, false
}

// promptCalls is over how many calls of each target that part is taken: those of a second.
const promptCalls = 4

// took counts the pieces of a call that can still meet their aim.
func (l *Scheduler) took(now time.Time, terms route.BatchProfile, pieces []Piece) {
	n := 0
	for _, p := range pieces {
		if !now.After(p.StartByObjective) {
			n++
		}
	}
	l.prompt += (float64(n)/float64(terms.MaxSize) - l.prompt) / float64(promptCalls*len(l.lanes))
}

// next chooses the target of the next call, nil if none should begin one.
//
// It answers targets that turn slow: one of those gets a call only where more waits than the sound ones take in
// the time that it loses.
func (l *Scheduler) next(now time.Time, terms route.BatchProfile) *lane {
	var best *lane
	sound := 0
	for _, x := range l.lanes {
		if x.slowness(now) < slowFrom && !now.Before(x.avoid) {
			sound++
		}
	}
	for _, x := range l.lanes {
		if x.busy || !x.ready(now) || l.passed[x.target.ID] || now.Before(x.avoid) || terms.ResultSpace-x.room(now) <= 0 {
			continue
		}
		s := x.slowness(now)
		if s >= slowFrom && float64(l.waiting.Len()) < (s-1)*float64(sound*terms.MaxSize) {
			continue
		}
		if best == nil || x.before(best, now) {
			best = x
		}
	}
	return best
}

// homes gives the sound targets of each data centre.
func (l *Scheduler) homes(now time.Time) map[string]home {
	list := map[string]home{}
	for _, x := range l.lanes {
		if x.slowness(now) >= slowFrom {
			continue
		}
		h, ok := list[x.target.Datacentre]
		if at := x.begins(now); !ok || at.Before(h.free) {
			h.free = at
		}
		h.targets++
		list[x.target.Datacentre] = h
	}
	return list
}

// free gives for each target when it can begin a call.
func (l *Scheduler) free(now time.Time) []time.Time {
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
		c.lane.used -= p.ResultBytes
	}
}

// Fail says that a call brought no results; the target is left alone for the time given.
func (c *Call) Fail(now time.Time) (avoid time.Duration, fails int) {
	c.end()
	c.lane.fails++
	avoid = min(avoidMost, avoidFirst<<min(c.lane.fails-1, 8))
	c.lane.avoid = now.Add(avoid)
	return avoid, c.lane.fails
}

// Complete says that a call brought results; it tells whether the target lacked space for some.
func (c *Call) Complete(now time.Time, terms route.BatchProfile, r Reply) (full bool) {
	c.end()
	c.lane.fails = 0
	c.lane.slow = float64(now.Sub(c.Started)-sendMargin) / float64(terms.CallDuration(len(c.Pieces)))
	c.lane.measured = now
	if r.Running+r.Waiting > 0 {
		c.lane.sharedAt = now
	}
	var made int64
	for i, p := range c.Pieces {
		switch r.Results[i].Reason {
		case Completed:
			c.lane.held[r.Results[i].Handle] = holding{bytes: p.ResultBytes, until: now.Add(terms.ResultTTL)}
			c.lane.used += p.ResultBytes
			made += p.ResultBytes
		case NoSpace:
			full = true
		}
	}
	if full {
		c.lane.full(now, terms, terms.ResultSpace-c.HeldBytes-made)
	} else {
		c.lane.fits(terms)
	}
	return full
}

// ReleaseResults says that a target holds some results no longer.
func (l *Scheduler) ReleaseResults(address string, handles []string) {
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
