package gateway

import (
	"net/http"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
)

// targets returns the targets among which most requests of a service are placed now.
func (g *Gateway) targets(now time.Time, rs *requestState) []registry.Target {
	var most []registry.Target
	for _, list := range g.cfg.Rollouts.Lists(now, rs.service.Name, g.cfg.Registry().Usable(rs.service.Name), 1, false) {
		if len(list) > len(most) {
			most = list
		}
	}
	return most
}

// forRollout returns what a send says of the version of its target.
func (r sendResult) forRollout() rollout.Result {
	out := r.final
	if out == nil {
		out = r.fallback
	}
	switch {
	case r.isComplete:
		return rollout.Succeeded
	case out.kind == cancelled, out.cause == causeNotRun, out.cause == causeInputLost:
		return rollout.Unknown
	case out.cause == causeTimeout, out.cause == causeNoResponse && r.broken == notBroken:
		// The node did not wait any longer: the time that it waited tells a slow version.
		return rollout.Succeeded
	case out.kind == answered && out.status < http.StatusInternalServerError:
		return rollout.Succeeded
	default:
		return rollout.Failed
	}
}
