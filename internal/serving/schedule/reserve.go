package schedule

import "time"

// maxStageReserve bounds the time that is reserved for the wait of a later stage: two calls of usual length, one that is under way and one that
// goes first. In the simulation more changes little.
const maxStageReserve = 500 * time.Millisecond

// ReserveForLaterStages returns the start by objective of stage i, which is begun at now, so that later stages may wait too. least is the latest
// start with which the request meets its latency objective if no later stage waits.
//
// It is designed for bursts in which several stages are short. A dispatcher takes what still meets its objective, the least time left first. With
// least, the first stage takes requests that have used up all their time there, and that miss the objective at the second one. Each stage
// that is left gets an equal share of the slack, so that routes with tight objectives are not late from the start.
func (s StageGraph) ReserveForLaterStages(now time.Time, i int, least time.Time) time.Time {
	later := s.stagesAfter(i)
	slack := least.Sub(now)
	if later == 0 || slack <= 0 {
		return least
	}
	share := min(maxStageReserve, slack/time.Duration(later+1))
	return least.Add(-share * time.Duration(later))
}
