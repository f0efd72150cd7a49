package batch

import (
	"iter"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/speed"
)

const (
	// finishMargin is the share of a call's time within which two targets finish at the same time, so that the space for results decides
	// between them.
	finishMargin = 0.1
	// holdMargin is the share of a call's time by which busy targets have to finish earlier than an idle one that gets no call. In replays
	// with targets of 0.7 to 1.7 times the profile's time, 0.1 kept pieces waiting for calls that ended later than expected: 0.4 to 3 %
	// fewer were on time than with 0.3.
	holdMargin = 0.3
	// maxQueued bounds the calls of others that count, so that a false report does not make a call's expected time, and with it the time
	// until it is overdue, endless.
	maxQueued = 8
	// minShorter is the least share of a call's time by which a call is made shorter for its most urgent piece; the estimate is not exact
	// enough for less.
	minShorter = 0.05
	// minEfficiency is the least work per time of a call that is made smaller for its most urgent piece, relative to a full call, while
	// the other pieces have to wait. In a burst, calls of a few pieces would each pay the fixed time of a call.
	minEfficiency = 0.7
)

// speeds returns the speeds of the targets.
func (s *Scheduler) speeds() iter.Seq[speed.Speed] {
	return func(yield func(speed.Speed) bool) {
		for _, st := range s.targets {
			if !yield(st.speed) {
				return
			}
		}
	}
}

// SpeedRange returns the least and the greatest factor by which the targets take longer than the batch profile says.
func (s *Scheduler) SpeedRange(now time.Time) (least, greatest float64) {
	return speed.Range(now, s.speeds())
}

// SpeedBasis returns why calls are placed by the speeds of the targets, speed.None if they are not.
func (s *Scheduler) SpeedBasis() speed.Basis { return s.basis }

// updateBasis decides whether calls are placed by the speeds of the targets. Limited targets take calls by their grants.
func (s *Scheduler) updateBasis(profile route.BatchProfile) {
	for _, st := range s.targets {
		if st.limit.IsSet() {
			s.basis = speed.None
			return
		}
	}
	s.basis = speed.BasisOf(s.basis, profile.CallDuration(profile.MaxSize), s.speeds())
}

// expected returns the expected time from the start of a call of n pieces to its end.
func (s *Scheduler) expected(now time.Time, profile route.BatchProfile, st *targetState, n int) time.Duration {
	if s.basis == speed.None {
		return time.Duration(float64(profile.CallDuration(n)) * st.slowness(now))
	}
	return st.wait(now, profile) + st.duration(now, profile, n)
}

// isSlow reports whether a target has become slow. One that is always slower than others has not.
func (s *Scheduler) isSlow(now time.Time, st *targetState) bool {
	if s.basis == speed.None {
		return st.isSlow(now)
	}
	return st.speed.Present(now) >= slowThreshold
}

// slowRatio returns the ratio of the time that a call took to the time that was to be expected of its target at work on it alone.
func (c *Call) slowRatio(now time.Time, profile route.BatchProfile) float64 {
	if c.Basis == speed.None {
		return c.state.slowRatio
	}
	return slowRatio(now.Sub(c.Started)-networkMargin, time.Duration(float64(profile.CallDuration(len(c.Pieces)))*c.Speed.Usual()))
}

// HeldUntil returns when to look again at pieces that wait for a faster target although another one is idle, the zero time if none do.
func (s *Scheduler) HeldUntil() time.Time { return s.heldUntil }

// recordSpeed records what a call and the target's report show of the target's speed.
func (c *Call) recordSpeed(now time.Time, profile route.BatchProfile, r Reply) {
	st := c.state
	others := r.Running + r.Waiting
	mayHaveWaited := others > 0 || st.othersAt(c.Started) > 0
	if r.WorkTime > 0 {
		st.speed = st.speed.WithReport(now, r.WorkTime)
	}
	st.others, st.slots, st.reportedAt = others, max(1, r.Slots), now
	// It is not known what a target has done for a piece without a result.
	for _, x := range r.Results {
		if x.Reason != Completed {
			return
		}
	}
	st.speed = st.speed.WithCall(now, speed.Call{
		Took: now.Sub(c.Started) - networkMargin, Profile: profile.CallDuration(len(c.Pieces)), MayHaveWaited: mayHaveWaited,
	})
}

// othersAt returns the number of calls of other dispatchers that the target has at now as far as it is known.
func (s *targetState) othersAt(now time.Time) int {
	if now.Sub(s.reportedAt) >= sharedPeriod {
		return 0
	}
	return s.others
}

// wait returns how long a call that is sent at now waits at the target for the calls of others, if each of them is a full one. Others
// send further calls, so their number is taken to decrease over sharedPeriod rather than by the calls that have ended.
func (s *targetState) wait(now time.Time, profile route.BatchProfile) time.Duration {
	others := s.othersAt(now)
	queued := min(maxQueued, others+1-s.slots)
	if others == 0 || queued <= 0 {
		return 0
	}
	full := float64(profile.CallDuration(profile.MaxSize)) * s.speed.Factor(now)
	left := 1 - max(0, now.Sub(s.reportedAt).Seconds())/sharedPeriod.Seconds()
	return time.Duration(float64(queued) / float64(s.slots) * full * left)
}

// duration returns the expected time of a call of n pieces at the target, without its wait for others.
func (s *targetState) duration(now time.Time, profile route.BatchProfile, n int) time.Duration {
	return time.Duration(float64(profile.CallDuration(n)) * s.speed.Factor(now))
}

// finish returns when a call of n pieces is expected to end if it is sent to the target once that is idle.
func (s *targetState) finish(now time.Time, profile route.BatchProfile, n int) time.Time {
	return s.nextStart(now).Add(s.wait(now, profile) + s.duration(now, profile, n))
}

// earliest returns the one of several idle targets that is expected to finish the next call first, and nil if busy targets finish all
// waiting pieces before it.
func (s *Scheduler) earliest(now time.Time, profile route.BatchProfile, idle []*targetState) *targetState {
	n := min(s.waiting.Len(), profile.MaxSize)
	var first time.Time
	for _, st := range idle {
		if at := st.finish(now, profile, n); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	latest := first.Add(time.Duration(finishMargin * float64(profile.CallDuration(n))))
	var best *targetState
	for _, st := range idle {
		if !st.finish(now, profile, n).After(latest) && (best == nil || st.preferredTo(best)) {
			best = st
		}
	}
	if best != nil && s.isTakenBefore(now, best.finish(now, profile, n), profile) {
		return nil
	}
	return best
}

// isTakenBefore reports whether busy targets are expected to finish all waiting pieces clearly before a time, and notes when to look again.
func (s *Scheduler) isTakenBefore(now, finish time.Time, profile route.BatchProfile) bool {
	n := min(s.waiting.Len(), profile.MaxSize)
	left := s.waiting.Len()
	var free time.Time
	finish = finish.Add(-time.Duration(holdMargin * float64(profile.CallDuration(n))))
	for _, st := range s.targets {
		// A call that takes longer than expected may take any time.
		if !st.busy || !st.freeAt.After(now) || st.unavailable(now) || !st.hasSpaceForAnother(now, profile) {
			continue
		}
		spare := finish.Sub(st.finish(now, profile, n))
		if spare < 0 {
			continue
		}
		// A profile may name no time at all.
		calls := 1 + int(spare/max(1, st.duration(now, profile, n)))
		left -= n * min(calls, s.waiting.Len())
		if free.IsZero() || st.freeAt.Before(free) {
			free = st.freeAt
		}
	}
	if left > 0 {
		return false
	}
	s.heldUntil = free.Add(time.Duration(finishMargin * float64(profile.CallDuration(n))))
	return true
}

// hasSpaceForAnother reports whether the results of another call like the last one fit at the target.
func (s *targetState) hasSpaceForAnother(now time.Time, profile route.BatchProfile) bool {
	return s.usedBytes(now)+s.lastCallBytes <= profile.ResultSpace
}

// callSize returns the number of pieces with which a call to a target that starts at now ends in time for its most urgent piece, and the
// full size if no call does or if the pieces that are left out would pay for it. idle is the number of targets that could start a call.
func (s *Scheduler) callSize(now time.Time, profile route.BatchProfile, st *targetState, idle int) int {
	if s.basis == speed.None || s.waiting.Len() == 0 || profile.PieceTime <= 0 {
		return profile.MaxSize
	}
	left := s.waiting.urgentTimeLeft(now, st.target.Datacentre, profile) - st.wait(now, profile)
	work := time.Duration(float64(left) / st.speed.Factor(now))
	n := int((work - profile.CallTime) / profile.PieceTime)
	size := min(s.waiting.Len(), profile.MaxSize)
	if n < 1 || n >= size {
		return profile.MaxSize
	}
	full, small := float64(profile.CallDuration(size)), float64(profile.CallDuration(n))
	if full-small < minShorter*full {
		return profile.MaxSize
	}
	if s.waiting.Len()-n <= (idle-1)*profile.MaxSize {
		return n
	}
	if float64(n)*full < minEfficiency*float64(size)*small {
		return profile.MaxSize
	}
	return n
}

// urgentTimeLeft returns the time in which the call with the most urgent piece has to end so that the piece is on time, or in time for its
// deadline if it is late already. The latest starts of pieces allow for a call of their group alone.
func (q *Queue) urgentTimeLeft(now time.Time, datacentre string, profile route.BatchProfile) time.Duration {
	urgent := q.pieces[0]
	for _, p := range q.pieces[1:] {
		if precedes(p, urgent, now, datacentre) {
			urgent = p
		}
	}
	startBy := urgent.StartByObjective
	if now.After(startBy) {
		startBy = urgent.StartByDeadline
	}
	return startBy.Sub(now) + profile.CallDuration(max(1, min(urgent.Count, profile.MaxSize)))
}
