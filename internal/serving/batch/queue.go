package batch

import (
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Queue is the pieces that wait for the targets of one service.
type Queue struct {
	pieces []Piece
}

// Len is the number of waiting pieces.
func (q *Queue) Len() int { return len(q.pieces) }

// Add appends pieces.
func (q *Queue) Add(p ...Piece) { q.pieces = append(q.pieces, p...) }

// RemoveGroup removes the pieces of a group and gives their number.
func (q *Queue) RemoveGroup(group uint64) int {
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if p.GroupID != group {
			kept = append(kept, p)
		}
	}
	n := len(q.pieces) - len(kept)
	q.pieces = kept
	return n
}

// Expire removes and gives the pieces that cannot end in time even if their call began at now.
func (q *Queue) Expire(now time.Time) []Piece {
	var late []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if now.After(p.StartByDeadline) {
			late = append(late, p)
			continue
		}
		kept = append(kept, p)
	}
	q.pieces = kept
	return late
}

// ExpireStarved removes and gives the pieces that will not begin in time by what waits before them.
//
// It answers a burst that goes on: what came later and is more urgent pushes others back, and those are better told
// at once than kept until their time is over. spare is the part of the targets' calls that is left for late pieces.
func (q *Queue) ExpireStarved(now time.Time, b route.BatchProfile, free []time.Time, spare float64) []Piece {
	if len(free) == 0 || b.MaxSize == 0 || (len(q.pieces) <= b.MaxSize*len(free) && spare >= scarce) {
		return nil
	}
	sort.SliceStable(q.pieces, func(i, j int) bool { return before(q.pieces[i], q.pieces[j], now, "") })
	calls := newCalls(now, b, free)
	var out []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if now.After(p.StartByObjective) {
			// Pieces in time that are still to come go before it.
			calls.add(1/max(spare, minSpare) - 1)
		}
		if calls.start().After(p.StartByDeadline) {
			out = append(out, p)
			continue
		}
		calls.add(1)
		kept = append(kept, p)
	}
	q.pieces = kept
	return out
}

// scarce is the part of the calls below which late pieces are looked at though few wait.
const scarce = 0.5

// minSpare is the least part of the calls that is taken to be left for late pieces.
const minSpare = 0.02

// calls works out when the calls of targets begin if each is filled.
type calls struct {
	b     route.BatchProfile
	free  []time.Time
	at    int
	count float64
}

func newCalls(now time.Time, b route.BatchProfile, free []time.Time) *calls {
	c := &calls{b: b, free: make([]time.Time, len(free))}
	for i, f := range free {
		c.free[i] = f
		if f.Before(now) {
			c.free[i] = now
		}
	}
	c.next()
	return c
}

func (c *calls) next() {
	c.at, c.count = 0, 0
	for i := range c.free {
		if c.free[i].Before(c.free[c.at]) {
			c.at = i
		}
	}
}

// start is when the call begins that the next piece is in.
func (c *calls) start() time.Time { return c.free[c.at] }

// add puts a piece into the call that takes so many places: more than one if others will come before it.
func (c *calls) add(places float64) {
	c.count += places
	for c.count >= float64(c.b.MaxSize) {
		left := c.count - float64(c.b.MaxSize)
		c.free[c.at] = c.free[c.at].Add(c.b.CallDuration(c.b.MaxSize))
		c.next()
		c.count = left
	}
}

// Take removes and gives the pieces of the next call: at most size of them, whose results fit into room bytes.
//
// It answers a burst in which more is asked for than the targets can do. Pieces of requests that can still meet
// their aim go first, by priority and then by the time that is left; those that are late already fill the call
// up, so that no time is spent on them while others can still be on time.
//
// It also answers results that are large: a piece that is best made in another data centre is left to a target there if
// one is free soon enough, up to half of what the targets there can begin next; homes tells of them.
func (q *Queue) Take(now time.Time, size int, room int64, at string, homes map[string]home) []Piece {
	sort.SliceStable(q.pieces, func(i, j int) bool { return before(q.pieces[i], q.pieces[j], now, at) })
	left := map[string]int{}
	var taken []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if p.stays(at, homes) && left[p.PreferredDatacentre] < size*homes[p.PreferredDatacentre].targets/2 {
			left[p.PreferredDatacentre]++
			kept = append(kept, p)
			continue
		}
		if len(taken) < size && p.ResultBytes <= room {
			taken = append(taken, p)
			room -= p.ResultBytes
			continue
		}
		kept = append(kept, p)
	}
	q.pieces = kept
	return taken
}

// home is the targets of one data centre: their number, and when the next of them is free.
type home struct {
	targets int
	free    time.Time
}

// heavy is the weight from which the way between data centres costs more than a short wait, in bytes.
const heavy = 50_000

// stays tells whether a piece waits for a target in its home rather than going to one in the data centre at.
func (p Piece) stays(at string, homes map[string]home) bool {
	if p.PreferredDatacentre == "" || p.PreferredDatacentre == at || p.TransferBytes < heavy {
		return false
	}
	h, ok := homes[p.PreferredDatacentre]
	return ok && !h.free.After(p.PreferUntil)
}

// before orders two waiting pieces for a target in the data centre at.
func before(a, b Piece, now time.Time, at string) bool {
	if late := now.After(a.StartByObjective); late != now.After(b.StartByObjective) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.StartByObjective.Equal(b.StartByObjective) {
		return a.StartByObjective.Before(b.StartByObjective)
	}
	return a.PreferredDatacentre == at && b.PreferredDatacentre != at
}

// EstimateStart estimates when the last of n more pieces of a priority would begin, given when each target is free.
func (q *Queue) EstimateStart(now time.Time, n, priority int, b route.BatchProfile, free []time.Time) (time.Time, bool) {
	if len(free) == 0 || b.MaxSize == 0 {
		return time.Time{}, false
	}
	ahead := 0
	for _, p := range q.pieces {
		if p.Priority <= priority {
			ahead++
		}
	}
	calls := newCalls(now, b, free)
	start := now
	for range ahead + n {
		start = calls.start()
		calls.add(1)
	}
	return start, true
}
