package dispatch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// rolloutPause is how long a target gets no calls because of a rollout before that is looked at again.
const rolloutPause = 100 * time.Millisecond

// pauseForRollout adds the targets of a shard that get no calls for now because of their version. They stay targets of the scheduler, which
// knows the results that they hold.
func (d *Dispatcher) pauseForRollout(now time.Time, s *shardScheduler, targets []registry.Target, pauses map[string]time.Time) {
	profile, ok := d.batchProfile(s.service)
	if !ok || !d.cfg.Rollouts.IsActive(now, s.service) {
		return
	}
	permitted := map[string]bool{}
	lists := d.cfg.Rollouts.Lists(now, s.service, targets, profile.MaxSize, false)
	for i, list := range lists {
		if i > 0 && d.cfg.Rollouts.IsShifted(now, s.service) && len(permitted) > 0 {
			break
		}
		for _, t := range list {
			permitted[t.ID] = true
		}
	}
	isPaused := false
	for _, t := range targets {
		if !permitted[t.ID] && pauses[t.ID].Before(now.Add(rolloutPause)) {
			pauses[t.ID] = now.Add(rolloutPause)
			isPaused = true
		}
	}
	if isPaused && s.Len() > 0 {
		time.AfterFunc(rolloutPause, d.Refresh)
	}
}

// rolloutResult returns what a call says of the version of its target.
func rolloutResult(r batch.Reply, err error) rollout.Result {
	if err != nil {
		return rollout.Failed
	}
	for _, x := range r.Results {
		if x.Reason == batch.Failed {
			return rollout.Failed
		}
	}
	return rollout.Succeeded
}
