package batch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// roomTimeline estimates when the results of waiting pieces find room, by the rate at which room has been given back of late.
//
// It is designed for bursts in which targets have time for calls but no room for their results: late pieces that get none until their deadline
// are rejected at once, and those that have inputs keep none of the room of an earlier stage meanwhile.
type roomTimeline struct {
	now time.Time
	// free is the room that is left, and rate what is given back in a second.
	free int64
	rate float64
	// spare is the share of the room given back that is left for late pieces.
	spare float64
	// used has the bytes of the results that go first, by the size of one.
	used map[int64]int64
}

// largerResult is how many times larger a result is that waits for room while a smaller one finds some.
const largerResult = 2

// bytes returns the room that the result of a piece needs, with that of pieces that arrive later and go ahead of a late one.
func (r *roomTimeline) bytes(p Piece, isLate bool) int64 {
	if !isLate {
		return p.ResultBytes
	}
	return int64(float64(p.ResultBytes) / max(r.spare, minSpareShare))
}

// add adds the result of a piece.
func (r *roomTimeline) add(p Piece, isLate bool) { r.used[p.ResultBytes] += r.bytes(p, isLate) }

// startAfter returns when the result of a piece has room after those that were added.
func (r *roomTimeline) startAfter(p Piece, isLate bool) time.Time {
	missing := r.bytes(p, isLate) - r.free
	for size, used := range r.used {
		if size <= largerResult*p.ResultBytes {
			missing += used
		}
	}
	if missing <= 0 || r.rate <= 0 {
		return r.now
	}
	return r.now.Add(time.Duration(float64(missing) / r.rate * float64(time.Second)))
}

// isShort reports whether the results of some pieces need more room than there is.
func (r *roomTimeline) isShort(pieces []Piece) bool {
	needed := int64(0)
	for _, p := range pieces {
		needed += p.ResultBytes
	}
	return needed > r.free
}

// newRoom returns the timeline of the room of all targets.
func (s *Scheduler) newRoom(now time.Time, profile route.BatchProfile) *roomTimeline {
	r := &roomTimeline{now: now, spare: 1 - s.onTimeRoom, used: map[int64]int64{}}
	total := int64(0)
	for _, st := range s.targets {
		r.free += max(0, profile.ResultSpace-st.usedBytes(now))
		total += profile.ResultSpace
	}
	if profile.ResultTTL > 0 {
		// Full targets give all their room back within the time to live of results, at the latest.
		r.rate = max(s.returned.rate(now), float64(total)/profile.ResultTTL.Seconds())
	}
	return r
}

// recordOnTimeRoom updates onTimeRoom with the pieces of a call to a target that had some room.
func (s *Scheduler) recordOnTimeRoom(now time.Time, pieces []Piece, room int64) {
	onTime := int64(0)
	for _, p := range pieces {
		if !now.After(p.StartByObjective) {
			onTime += p.ResultBytes
		}
	}
	s.onTimeRoom += (float64(onTime)/float64(max(room, 1)) - s.onTimeRoom) / float64(onTimeCalls*len(s.targets))
}

// returnRate averages how much room is given back in a second.
type returnRate struct {
	// average is the rate as of at, since what has been given back from then on.
	average float64
	at      time.Time
	since   int64
}

// returnPeriod is the time over which the rate is averaged: that of a few calls.
const returnPeriod = time.Second

// rate returns the rate in bytes a second.
func (r *returnRate) rate(now time.Time) float64 {
	passed := now.Sub(r.at)
	if passed < returnPeriod {
		return r.average
	}
	rate := float64(r.since) / passed.Seconds()
	if r.average > 0 && passed < 2*returnPeriod {
		rate = (rate + r.average) / 2
	}
	r.average, r.at, r.since = rate, now, 0
	return rate
}
