package batch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// A target's room for results is reserved from the start of a call. The functions here count results whose calls were not answered and results at
// targets that are out of service for a moment: each piece that finds no room costs its place in a call of 200 ms or more, and its
// inputs may have been freed meanwhile.

// recordUnanswered assumes that the target holds the results of a call whose response was lost, until they expire or the target
// reports its space.
func (s *targetState) recordUnanswered(now time.Time, profile route.BatchProfile, callBytes int64) {
	s.untracked = min(s.untrackedBytes(now)+callBytes, max(0, profile.ResultSpace-s.heldBytes))
	s.untrackedAt, s.untrackedDecay = now, profile.ResultTTL
}

// RecordUnanswered records that the target of a failed call may have made its results. It is called after Fail.
func (c *Call) RecordUnanswered(now time.Time, profile route.BatchProfile) {
	c.state.recordUnanswered(now, profile, c.bytes())
}

func (c *Call) bytes() int64 {
	var bytes int64
	for _, p := range c.Pieces {
		bytes += p.ResultBytes
	}
	return bytes
}

// leave keeps the state of a target that may no longer be used: its results stay, and its calls go on. A target that comes back in
// the same run has them still.
func (s *Scheduler) leave(now time.Time, st *targetState) {
	st.leftAt = now
	s.left[st.target.ID] = st
	delete(s.targets, st.target.ID)
}

// leftRetention is how long the state of a target that may not be used is kept: beyond the time to live of results and the longest calls.
const leftRetention = 30 * time.Second

// comeBack returns the state of a target that could not be used for a while, nil if it has restarted since or is not known.
func (s *Scheduler) comeBack(now time.Time, t registry.Target) *targetState {
	st, ok := s.left[t.ID]
	if !ok {
		return nil
	}
	delete(s.left, t.ID)
	if st.target.StartedAt != t.StartedAt || now.Sub(st.leftAt) >= leftRetention {
		return nil
	}
	// Other dispatchers, or none, may have freed results of it meanwhile.
	st.probed = false
	return st
}

// pruneLeft drops the state of targets that have not come back.
func (s *Scheduler) pruneLeft(now time.Time) {
	for id, st := range s.left {
		if now.Sub(st.leftAt) >= leftRetention {
			delete(s.left, id)
		}
	}
}
