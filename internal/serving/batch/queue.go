package batch

import (
	"slices"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Queue holds the pieces that wait for the targets of one service.
type Queue struct {
	pieces []Piece
}

// Len returns the number of waiting pieces.
func (q *Queue) Len() int { return len(q.pieces) }

// Add appends pieces.
func (q *Queue) Add(p ...Piece) { q.pieces = append(q.pieces, p...) }

// RemoveGroup removes the pieces of a group and returns their number.
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

// mostUrgent returns the priority of the most urgent piece, and the latest start of any.
func (q *Queue) mostUrgent() (priority int, startBy time.Time) {
	for i, p := range q.pieces {
		if i == 0 || p.Priority < priority {
			priority = p.Priority
		}
		if p.StartByDeadline.After(startBy) {
			startBy = p.StartByDeadline
		}
	}
	return priority, startBy
}

// isLateIfDelayed reports whether some piece misses its latency objective, or its deadline if it is late already, if its result
// comes later by extra than that of a call that starts at now.
func (q *Queue) isLateIfDelayed(now time.Time, extra time.Duration) bool {
	return slices.ContainsFunc(q.pieces, func(p Piece) bool {
		startBy := p.StartByObjective
		if now.After(startBy) {
			startBy = p.StartByDeadline
		}
		return now.Add(extra).After(startBy)
	})
}

// Expire removes and returns the pieces that cannot be done in time even if their call started at now.
func (q *Queue) Expire(now time.Time) []Piece {
	var expired []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if now.After(p.StartByDeadline) {
			expired = append(expired, p)
			continue
		}
		kept = append(kept, p)
	}
	q.pieces = kept
	return expired
}

// ExpireStarved removes and returns the pieces that will not start in time because of the pieces ahead of them.
//
// During a long burst, later but more urgent pieces displace others, and it is better to reject those at once than to
// keep them until their deadline. spare is the share of the targets' call capacity that is left for late pieces, room the room for
// results.
func (q *Queue) ExpireStarved(now time.Time, profile route.BatchProfile, free []Opening, spare float64, room *roomTimeline) []Piece {
	if len(free) == 0 || profile.MaxSize == 0 || (len(q.pieces) <= profile.MaxSize*len(free) && spare >= scarceShare && !room.isShort(q.pieces)) {
		return nil
	}
	sort.SliceStable(q.pieces, func(i, j int) bool { return precedes(q.pieces[i], q.pieces[j], now, "") })
	calls := newTimeline(now, profile, free)
	var starved []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		isLate := now.After(p.StartByObjective)
		if isLate {
			// Pieces that arrive later and can still meet their objective go ahead of this one.
			calls.add(1/max(spare, minSpareShare) - 1)
		}
		p.LacksRoom = room.startAfter(p, isLate).After(p.StartByDeadline)
		if p.LacksRoom || calls.start().After(p.StartByDeadline) {
			starved = append(starved, p)
			continue
		}
		calls.add(1)
		room.add(p, isLate)
		kept = append(kept, p)
	}
	q.pieces = kept
	return starved
}

// scarceShare is the spare share below which pieces are checked for starvation although few wait.
const scarceShare = 0.5

// minSpareShare is the lower bound of the spare share that estimates use.
const minSpareShare = 0.02

// Opening is when a target can start a call, and the least time between the starts of two calls, 0 for one that is bounded by
// their length alone.
type Opening struct {
	At       time.Time
	Interval time.Duration
}

// timeline estimates when the calls of targets start if each call is filled.
type timeline struct {
	profile route.BatchProfile
	free    []Opening
	current int
	filled  float64
}

func newTimeline(now time.Time, profile route.BatchProfile, free []Opening) *timeline {
	t := &timeline{profile: profile, free: make([]Opening, len(free))}
	for i, f := range free {
		t.free[i] = f
		if f.At.Before(now) {
			t.free[i].At = now
		}
	}
	t.selectNext()
	return t
}

func (t *timeline) selectNext() {
	t.current, t.filled = 0, 0
	for i := range t.free {
		if t.free[i].At.Before(t.free[t.current].At) {
			t.current = i
		}
	}
}

// start returns when the call with the next piece starts.
func (t *timeline) start() time.Time { return t.free[t.current].At }

// add adds count pieces to the current call and moves on to the next one when it is full. count may be a fraction if it
// stands for pieces that are expected to arrive later and go ahead.
func (t *timeline) add(count float64) {
	t.filled += count
	for t.filled >= float64(t.profile.MaxSize) {
		excess := t.filled - float64(t.profile.MaxSize)
		x := &t.free[t.current]
		x.At = x.At.Add(max(x.Interval, t.profile.CallDuration(t.profile.MaxSize)))
		t.selectNext()
		t.filled = excess
	}
}

// Take removes and returns the pieces of the next call: at most size of them, whose results fit into space bytes.
//
// In a burst that exceeds the targets' capacity, pieces of requests that can still meet their latency objective go
// first, by priority and then by the time that is left. Late pieces only fill up the call, so that no time is spent on
// them while others can still be on time.
//
// A piece under which targets have crashed goes with its own group only, so that the next crash, or result, tells it from others.
//
// Large results are costly to move: a piece that is best run in another data centre is left to a target there if one
// is free soon enough, up to half of what the targets there can start next. targets summarises the targets of each data
// centre.
func (q *Queue) Take(now time.Time, size int, space int64, datacentre string, targets map[string]datacentreTargets) []Piece {
	sort.SliceStable(q.pieces, func(i, j int) bool { return precedes(q.pieces[i], q.pieces[j], now, datacentre) })
	reserved := map[string]int{}
	var taken []Piece
	kept := q.pieces[:0]
	for _, p := range q.pieces {
		if p.waitsForPreferred(datacentre, targets) && reserved[p.PreferredDatacentre] < size*targets[p.PreferredDatacentre].count/2 {
			reserved[p.PreferredDatacentre]++
			kept = append(kept, p)
			continue
		}
		if len(taken) < size && p.ResultBytes <= space && p.mayJoin(taken) {
			taken = append(taken, p)
			space -= p.ResultBytes
			continue
		}
		kept = append(kept, p)
	}
	q.pieces = kept
	return taken
}

// mayJoin reports whether a piece may be in one call with others.
func (p Piece) mayJoin(taken []Piece) bool {
	return len(taken) == 0 || p.GroupID == taken[0].GroupID || !p.Alone && !taken[0].Alone
}

// datacentreTargets summarises the targets of one data centre: their number, and when the next of them is free.
type datacentreTargets struct {
	count  int
	freeAt time.Time
}

// largeTransfer is the number of bytes from which a transfer between data centres costs more than a short wait.
const largeTransfer = 50_000

// waitsForPreferred reports whether a piece waits for a target in its preferred data centre rather than going to one in
// the given data centre.
func (p Piece) waitsForPreferred(datacentre string, targets map[string]datacentreTargets) bool {
	if p.PreferredDatacentre == "" || p.PreferredDatacentre == datacentre || p.TransferBytes < largeTransfer {
		return false
	}
	t, ok := targets[p.PreferredDatacentre]
	return ok && !t.freeAt.After(p.PreferUntil)
}

// precedes reports whether a goes before b at a target in the given data centre.
func precedes(a, b Piece, now time.Time, datacentre string) bool {
	if late := now.After(a.StartByObjective); late != now.After(b.StartByObjective) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.StartByObjective.Equal(b.StartByObjective) {
		return a.StartByObjective.Before(b.StartByObjective)
	}
	return a.PreferredDatacentre == datacentre && b.PreferredDatacentre != datacentre
}

// EstimateStart estimates when the last of n more pieces of a priority would start, given when each target is free; false
// if there are no targets.
func (q *Queue) EstimateStart(now time.Time, n, priority int, profile route.BatchProfile, free []Opening) (time.Time, bool) {
	if len(free) == 0 || profile.MaxSize == 0 {
		return time.Time{}, false
	}
	ahead := 0
	for _, p := range q.pieces {
		if p.Priority <= priority {
			ahead++
		}
	}
	calls := newTimeline(now, profile, free)
	start := now
	for range ahead + n {
		start = calls.start()
		calls.add(1)
	}
	return start, true
}
