package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// maxWaitingCalls is the maximum number of calls that a stage target queues.
	maxWaitingCalls = 2
	// roundTrip is the network round trip between two machines.
	roundTrip = 3 * ms
	// releaseInterval is how long released results are collected for one call.
	releaseInterval = 20 * ms
	// inputFetchTime is the time from the start of a call after which its inputs may be released.
	inputFetchTime = 40 * ms
)

// stageTarget is an emulated stage target that runs one call at a time.
type stageTarget struct {
	registry.Target
	freeAt      time.Time
	waiting     int
	usedSpace   int64
	results     map[string]int64
	resultCount int
}

// workTime returns the working time of a call; cost factors and slowdowns belong to the emulation and are unknown to the
// scheduler.
func (s *sim) workTime(t *stageTarget, profile route.BatchProfile, pieces []batch.Piece) time.Duration {
	work := profile.CallTime
	for _, p := range pieces {
		work += time.Duration(float64(profile.PieceTime) * s.requests[p.Request].kind.CostFactor[p.Stage])
	}
	if slowdown := s.scenario.Slowdown; slowdown != nil && slowdown.Service == t.Service && t.isAmongFirst(slowdown.Targets) {
		if since := s.clock.now.Sub(startTime); since >= slowdown.Start && since < slowdown.Start+slowdown.Duration {
			work = time.Duration(float64(work) * slowdown.Factor)
		}
	}
	return work
}

// isAmongFirst reports whether a target is among the first n of its service; Slots holds its number.
func (t *stageTarget) isAmongFirst(n int) bool { return t.Slots <= n }

// runCall runs a call and passes its results to done, or false if the target's queue is full.
func (s *sim) runCall(t *stageTarget, profile route.BatchProfile, pieces []batch.Piece, done func(batch.Reply, bool)) {
	now := s.clock.now
	if t.waiting > maxWaitingCalls {
		s.clock.runAfter(roundTrip, func() { done(batch.Reply{}, false) })
		return
	}
	t.waiting++
	startAt := now.Add(roundTrip / 2)
	if t.freeAt.After(startAt) {
		startAt = t.freeAt
	}
	work := s.workTime(t, profile, pieces)
	t.freeAt = startAt.Add(work)
	results := make([]batch.Result, len(pieces))
	s.clock.runAt(startAt, func() {
		for i, p := range pieces {
			s.countTransfer(t.Datacentre, p.Inputs)
			if !s.hasResults(p.Inputs) {
				results[i].Reason = batch.InputLost
				s.report.InputGone++
				continue
			}
			if t.usedSpace+p.ResultBytes > profile.ResultSpace {
				results[i].Reason = batch.NoSpace
				s.report.NoRoom++
				continue
			}
			results[i] = batch.Result{Handle: s.storeResult(t, p.ResultBytes), Datacentre: t.Datacentre}
		}
	})
	s.clock.runAt(startAt.Add(work), func() {
		t.waiting--
		s.recordCallTime(pieces, work)
		for _, r := range results {
			if r.Reason == batch.Completed {
				handle := r.Handle
				s.clock.runAfter(profile.ResultTTL, func() { t.dropResult(handle) })
			}
		}
		waiting := t.waiting
		s.clock.runAfter(roundTrip/2, func() { done(batch.Reply{Results: results, Waiting: waiting}, true) })
	})
}

// storeResult stores a result and returns its handle.
func (s *sim) storeResult(t *stageTarget, bytes int64) string {
	t.resultCount++
	handle := t.Address + "/" + itoa(t.resultCount)
	t.results[handle] = bytes
	t.usedSpace += bytes
	return handle
}

func (t *stageTarget) dropResult(handle string) {
	if bytes, ok := t.results[handle]; ok {
		delete(t.results, handle)
		t.usedSpace -= bytes
	}
}

// countTransfer counts the bytes of results that a target in a data centre fetches from other data centres.
func (s *sim) countTransfer(datacentre string, handles []string) {
	for _, h := range handles {
		if t := s.stageTargets[batch.HandleAddress(h)]; t.Datacentre != datacentre {
			s.report.CrossDatacentreBytes += t.results[h]
		}
	}
}

// hasResults reports whether all results still exist.
func (s *sim) hasResults(handles []string) bool {
	for _, h := range handles {
		t := s.stageTargets[batch.HandleAddress(h)]
		if _, ok := t.results[h]; !ok {
			return false
		}
	}
	return true
}

// recordCallTime divides the time of a call among the requests of its pieces.
func (s *sim) recordCallTime(pieces []batch.Piece, work time.Duration) {
	s.report.StageSeconds += work.Seconds()
	for _, p := range pieces {
		s.requests[p.Request].spent += work / time.Duration(len(pieces))
	}
}
