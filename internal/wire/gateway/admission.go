package gateway

import "time"

// latestStart returns until when the call with the pieces of stage i has to start: its inputs must not have expired by then.
func (sr *stageRun) latestStart(i int, byDeadline time.Time) time.Time {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, dep := range sr.graph.Stages[i].DependsOn {
		if at := sr.expireAt[dep]; !at.IsZero() && at.Before(byDeadline) {
			byDeadline = at
		}
	}
	return byDeadline
}
