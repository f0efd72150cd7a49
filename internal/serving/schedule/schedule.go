package schedule

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// StageGraph is the dependency graph of the stages of one request.
type StageGraph struct {
	Stages []route.Stage
	// PieceCounts is the number of pieces of each stage; stages without a number have none.
	PieceCounts []int
	// BatchProfile returns the batch profile of a service's targets.
	BatchProfile func(service string) route.BatchProfile
	// FinalTime is the time from the end of the last stage to the response.
	FinalTime time.Duration
}

// LeadTime returns the least time that all stages take.
func (s StageGraph) LeadTime() time.Duration {
	lead := time.Duration(0)
	for _, remaining := range s.RemainingTimes() {
		lead = max(lead, remaining-s.FinalTime)
	}
	return lead
}

// RemainingTimes returns for each stage the least time from the start of its last call to the response to the request.
func (s StageGraph) RemainingTimes() []time.Duration {
	times := make([]time.Duration, len(s.Stages))
	done := make([]bool, len(s.Stages))
	var remaining func(i int) time.Duration
	remaining = func(i int) time.Duration {
		if done[i] {
			return times[i]
		}
		done[i] = true
		rest := s.FinalTime
		for k, next := range s.Stages {
			for _, dep := range next.DependsOn {
				if dep == i {
					rest = max(rest, remaining(k))
				}
			}
		}
		times[i] = rest + s.callTime(i)
		return times[i]
	}
	for i := range s.Stages {
		remaining(i)
	}
	return times
}

// PreferredDatacentre returns the data centre in which the pieces of a stage are best run, "" if any will do, and the
// number of bytes that each piece moves between data centres if it runs in another one. results counts the results of
// each stage by data centre; final is the data centre where the request's target is likely to be.
//
// In a chain of stages each piece of the next stage fetches every result, so the pieces of one request are best kept in
// one data centre.
func (s StageGraph) PreferredDatacentre(i int, results []map[string]int, final string) (datacentre string, transferBytes int64) {
	bytes := map[string]int64{}
	for _, dep := range s.Stages[i].DependsOn {
		for d, n := range results[dep] {
			bytes[d] += int64(n) * s.Stages[dep].ResultBytes
		}
	}
	if final != "" && route.DependentCounts(s.Stages)[i] == 0 {
		bytes[final] += s.Stages[i].ResultBytes
	}
	for d, n := range bytes {
		if n > transferBytes || (n == transferBytes && d < datacentre) {
			datacentre, transferBytes = d, n
		}
	}
	return datacentre, transferBytes
}

// preferMargin is reserved for each outstanding call while pieces wait for a target in the preferred data centre: each
// of these calls may have to wait for a target too, at most as long as a usual call takes.
const preferMargin = 200 * time.Millisecond

// PreferUntil returns until when the pieces of a stage wait for a target in the preferred data centre, given the stage's
// start by objective.
func (s StageGraph) PreferUntil(i int, startByObjective time.Time) time.Time {
	return startByObjective.Add(-preferMargin * time.Duration(1+s.stagesAfter(i)))
}

// stagesAfter returns the length of the longest chain of stages with pieces that follow a stage.
func (s StageGraph) stagesAfter(i int) int {
	n := 0
	for k, next := range s.Stages {
		if k < len(s.PieceCounts) && s.PieceCounts[k] > 0 && slices.Contains(next.DependsOn, i) {
			n = max(n, 1+s.stagesAfter(k))
		}
	}
	return n
}

// callTime returns the duration of a call with as many pieces of a stage as fit; 0 for a stage without pieces.
func (s StageGraph) callTime(i int) time.Duration {
	if i >= len(s.PieceCounts) || s.PieceCounts[i] == 0 {
		return 0
	}
	profile := s.BatchProfile(s.Stages[i].Service)
	return profile.CallDuration(min(s.PieceCounts[i], profile.MaxSize))
}

// displacedRetryShare is the share of the remaining time after which a caller whose request was displaced should retry:
// callers wait at most a third of that time, and the retries of callers refused together are spread beyond this share.
const displacedRetryShare = 0.25

// RetryAfterDisplaced returns the delay after which a caller should retry whose queued request was displaced by others.
//
// The end of the burst is not known, and a caller that retries at once would meet it again.
func RetryAfterDisplaced(now, deadline time.Time) time.Duration {
	return max(minRetryAfter, time.Duration(displacedRetryShare*float64(deadline.Sub(now))))
}

// minRetryAfter keeps refused callers from retrying at once and meeting the same overload.
const minRetryAfter = 100 * time.Millisecond

// RetryAfterRejected returns the delay after which a refused caller should retry: once enough of the wait is over for its
// request to fit.
func RetryAfterRejected(now time.Time, wait time.Duration, deadline time.Time) time.Duration {
	return max(minRetryAfter, wait-deadline.Sub(now)/2)
}
