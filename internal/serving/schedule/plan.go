package schedule

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// StageGraph is the stages of one request.
type StageGraph struct {
	Stages []route.Stage
	// PieceCounts is the number of pieces of each stage; stages without a number have none.
	PieceCounts []int
	// BatchLimits gives what a target of a service takes in a call.
	BatchLimits func(service string) route.BatchProfile
	// FinalTime is the time from the last stage to the answer.
	FinalTime time.Duration
}

// RemainingTimes gives for each stage the least time from the start of its last call to the answer of the request.
func (s StageGraph) RemainingTimes() []time.Duration {
	tails := make([]time.Duration, len(s.Stages))
	set := make([]bool, len(s.Stages))
	var tail func(i int) time.Duration
	tail = func(i int) time.Duration {
		if set[i] {
			return tails[i]
		}
		set[i] = true
		rest := s.FinalTime
		for k, next := range s.Stages {
			for _, a := range next.DependsOn {
				if a == i {
					rest = max(rest, tail(k))
				}
			}
		}
		tails[i] = rest + s.own(i)
		return tails[i]
	}
	for i := range s.Stages {
		tail(i)
	}
	return tails
}

// PreferredDatacentre gives the data centre in which the pieces of a stage are best made, "" if any will do, and the bytes for each
// piece that cross to or from another one if they are made there. results counts those of each stage by data centre;
// last is where the request's target is likely to be.
//
// It answers chains whose results are fetched many times: each piece of the next stage fetches every result, so the
// pieces of one request belong together.
func (s StageGraph) PreferredDatacentre(i int, results []map[string]int, last string) (datacentre string, weight int64) {
	from := map[string]int64{}
	for _, a := range s.Stages[i].DependsOn {
		for d, n := range results[a] {
			from[d] += int64(n) * s.Stages[a].ResultBytes
		}
	}
	if last != "" && route.DependentCounts(s.Stages)[i] == 0 {
		from[last] += s.Stages[i].ResultBytes
	}
	for d, w := range from {
		if w > weight || (w == weight && d < datacentre) {
			datacentre, weight = d, w
		}
	}
	return datacentre, weight
}

// stayMargin is kept for each call that is still to come when pieces wait for a target at home: each may wait for a
// target too, for a usual call at the most.
const stayMargin = 200 * time.Millisecond

// PreferUntil is until when the pieces of a stage wait for a target at home, given the latest start with which the request
// meets its aim.
func (s StageGraph) PreferUntil(i int, prompt time.Time) time.Time {
	return prompt.Add(-stayMargin * time.Duration(1+s.behind(i)))
}

// behind is the largest number of stages with pieces that come one after the other behind a stage.
func (s StageGraph) behind(i int) int {
	n := 0
	for k, next := range s.Stages {
		if k < len(s.PieceCounts) && s.PieceCounts[k] > 0 && slices.Contains(next.DependsOn, i) {
			n = max(n, 1+s.behind(k))
		}
	}
	return n
}

// own is the time of a call with the pieces of a stage.
func (s StageGraph) own(i int) time.Duration {
	if i >= len(s.PieceCounts) || s.PieceCounts[i] == 0 {
		return 0
	}
	b := s.BatchLimits(s.Stages[i].Service)
	return b.CallDuration(min(s.PieceCounts[i], b.MaxSize))
}

// laterPart is the part of the time left after which a caller whose request was pushed back comes again: callers wait a
// third of it at most, and those who are refused together are spread over some more.
const laterPart = 0.25

// RetryAfterDisplaced is when a caller should come back whose request waited and was pushed back by others.
//
// It answers a burst whose end is not known: who comes back at once meets it again.
func RetryAfterDisplaced(now, end time.Time) time.Duration {
	return max(minReturn, time.Duration(laterPart*float64(end.Sub(now))))
}

// minReturn keeps refused callers from coming back into the same moment.
const minReturn = 100 * time.Millisecond

// RetryAfterRefused is when a refused caller should come back: once so much of the wait is over that its request fits.
func RetryAfterRefused(now time.Time, wait time.Duration, end time.Time) time.Duration {
	return max(minReturn, wait-end.Sub(now)/2)
}
