package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/coldstart"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit"
)

const (
	// maxAsked bounds the limited targets that are asked for one request before others take it; maxClaimed bounds the targets
	// of one claim.
	maxAsked   = 2
	maxClaimed = 8
	// returnShare is the share of the time left after which callers come back at the latest.
	returnShare = 1.0 / 3
	// maxWorth bounds the worth of a request by its size.
	maxWorth = 4
	// sizeWorth is the part of a request's worth that rises with its size.
	sizeWorth = 0.7
)

// withGrantTimes sets when a grant may be asked for at the limited candidates.
func (g *Gateway) withGrantTimes(now time.Time, rs *requestState, list []balancer.Candidate) []balancer.Candidate {
	for i, c := range list {
		if !c.IsLimited {
			continue
		}
		rank := g.claim(rs).Rank()
		at, ok := g.cfg.Permits.NextAt(now, poolOf(c.Target), c.Target.Run(), rank)
		if !ok {
			at = now.Add(shortRetry)
		}
		list[i].AskAt = at
	}
	return list
}

func poolOf(t registry.Target) ratelimit.Pool {
	return ratelimit.Pool{Service: t.Service, Datacentre: t.Datacentre}
}

// claim returns the claim of a request to one send.
func (g *Gateway) claim(rs *requestState, targets ...notice.Target) ratelimit.Claim {
	return ratelimit.Claim{ID: rs.claimID, Targets: targets, Priority: rs.priority(), IsInvested: len(rs.inputs) > 0 || rs.LastEventID != "", Worth: g.worth(rs)}
}

// groupClaim returns the claim of a request that may wait for a send to any of the limited targets of a pool.
func (g *Gateway) groupClaim(now time.Time, rs *requestState, group []balancer.Candidate) ratelimit.Claim {
	c := g.claim(rs)
	for _, x := range group[:min(len(group), maxClaimed)] {
		c.Targets = append(c.Targets, x.Target.Run())
	}
	c.StartBy = g.startBy(now, rs)
	c.ReturnBy = now.Add(time.Duration(returnShare * float64(rs.deadline.Sub(now))))
	return c
}

// worth returns the size of a request against the mean of its route.
func (g *Gateway) worth(rs *requestState) float64 {
	size := float64(rs.Prompt.Size())
	if size == 0 {
		return 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	mean, ok := g.meanSizes[rs.route.Name]
	if !ok {
		mean = size
	}
	if rs.worth == 0 {
		mean += (size - mean) / 64
		g.meanSizes[rs.route.Name] = mean
	}
	rs.worth = min(maxWorth, 1-sizeWorth+sizeWorth*size/mean)
	return rs.worth
}

// acquire asks for a grant at a limited target without waiting.
func (g *Gateway) acquire(ctx context.Context, now time.Time, rs *requestState, t registry.Target) bool {
	c := g.claim(rs, t.Run())
	c.StartBy = now
	r := g.cfg.Permits.Reserve(ctx, poolOf(t), c)
	rs.recordReservation(r)
	switch r.Decision.(type) {
	case ratelimit.Granted:
		return true
	case ratelimit.Lifted:
		return !g.cfg.Notices.Board().Limit(g.cfg.Now(), t.Run()).IsSet()
	default:
		return false
	}
}

// await asks for a grant at any of the limited targets, pool by pool as long as the request may wait, and waits for it. It returns
// the target, or when there is room; neither if the request should be placed anew.
func (g *Gateway) await(ctx context.Context, now time.Time, rs *requestState, list []balancer.Candidate) (t *balancer.Candidate, retryAfter time.Duration) {
	for _, group := range byPool(rs, list) {
		claim := g.groupClaim(now, rs, group)
		if retryAfter > 0 && claim.HasWaited(now, g.cfg.Now()) {
			break
		}
		r, hasLeft := g.reserve(ctx, poolOf(group[0].Target), claim, group)
		rs.recordReservation(r)
		if hasLeft {
			return nil, 0
		}
		switch d := r.Decision.(type) {
		case ratelimit.Granted:
			i := slices.IndexFunc(group, func(x balancer.Candidate) bool { return x.Target.Run() == d.Target })
			if i < 0 {
				return nil, 0
			}
			return &group[i], 0
		case ratelimit.Lifted:
			return nil, 0
		case ratelimit.Rejected:
			if retryAfter == 0 || d.RetryAfter < retryAfter {
				retryAfter = max(d.RetryAfter, minRetryAfter)
			}
		}
	}
	return nil, retryAfter
}

// usableInterval is the time between two looks at the targets that a request waits for.
const usableInterval = 50 * time.Millisecond

// reserve asks for a grant at any target of a group. It ends, and hasLeft is set, once none of them may be used any more.
func (g *Gateway) reserve(ctx context.Context, p ratelimit.Pool, claim ratelimit.Claim, group []balancer.Candidate) (r permit.Reservation, hasLeft bool) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() {
		ticker := time.NewTicker(usableInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !slices.ContainsFunc(group, func(c balancer.Candidate) bool { return g.isUsable(c.Target) }) {
				hasLeft = true
				cancel()
				return
			}
		}
	})
	r = g.cfg.Permits.Reserve(ctx, p, claim)
	cancel()
	watcher.Wait()
	return r, hasLeft
}

// isUsable reports whether the run of a target that has been picked may still be sent to.
func (g *Gateway) isUsable(t registry.Target) bool {
	usable := slices.ContainsFunc(g.cfg.Registry().Usable(t.Service), func(x registry.Target) bool { return x.Run() == t.Run() })
	return usable && !g.cfg.Notices.Board().Leaving(t.Run())
}

// byPool groups limited candidates by their pools, that with the earliest grant first and the one in which the request has been
// announced before all.
func byPool(rs *requestState, list []balancer.Candidate) [][]balancer.Candidate {
	var groups [][]balancer.Candidate
	for _, c := range list {
		i := slices.IndexFunc(groups, func(x []balancer.Candidate) bool { return poolOf(x[0].Target) == poolOf(c.Target) })
		if i < 0 {
			groups = append(groups, []balancer.Candidate{c})
			continue
		}
		groups[i] = append(groups[i], c)
	}
	earliest := func(group []balancer.Candidate) time.Time {
		return slices.MinFunc(group, func(a, b balancer.Candidate) int { return a.AskAt.Compare(b.AskAt) }).AskAt
	}
	slices.SortStableFunc(groups, func(a, b []balancer.Candidate) int {
		if announcedA, announcedB := poolOf(a[0].Target) == rs.announced, poolOf(b[0].Target) == rs.announced; announcedA != announcedB {
			if announcedA {
				return -1
			}
			return 1
		}
		return earliest(a).Compare(earliest(b))
	})
	return groups
}

// announce asks, before the stages of a request are run, whether there will be a place for it if all targets of its service are
// limited. It returns the refusal if there will be none.
func (g *Gateway) announce(ctx context.Context, rs *requestState, graph schedule.StageGraph) *outcome {
	now := g.cfg.Now()
	list := g.withGrantTimes(now, rs, g.loads.candidates(now, g.targets(now, rs), nil, g.cfg.Notices.Board()))
	if len(list) == 0 || slices.ContainsFunc(list, func(c balancer.Candidate) bool { return !c.IsLimited }) {
		return nil
	}
	var retryAfter time.Duration
	for _, group := range byPool(rs, balancer.Order(now, g.balancerRequest(now, rs), list)) {
		c := g.groupClaim(now, rs, group)
		if retryAfter > 0 && c.HasWaited(now, g.cfg.Now()) {
			break
		}
		// Once its stages have run, the request goes before those whose stages have not.
		c.IsInvested = true
		c.ReadyAt = now.Add(graph.LeadTime())
		r := g.cfg.Permits.Reserve(ctx, poolOf(group[0].Target), c)
		rs.recordReservation(r)
		d, isRejected := r.Decision.(ratelimit.Rejected)
		if !isRejected {
			rs.announced = poolOf(group[0].Target)
			return nil
		}
		if retryAfter == 0 || d.RetryAfter < retryAfter {
			retryAfter = max(d.RetryAfter, minRetryAfter)
		}
	}
	return limitRefusal(retryAfter)
}

func limitRefusal(retryAfter time.Duration) *outcome {
	return refusal(causeLimited, "targets limit what they take", retryAfter)
}

// coldShare returns this node's share of the cold limit of a target, 0 for a warm one.
func (g *Gateway) coldShare(now time.Time, rs *requestState, t registry.Target) int {
	if !t.Cold(now) {
		return 0
	}
	limit := rs.service.ColdRateLimit*g.cfg.ColdLimit.Factor + g.cfg.ColdLimit.Extra
	if rs.service.ColdRateLimit == 0 {
		return int(limit)
	}
	if now.Sub(g.cfg.StartedAt) < coldstart.JoinTime {
		return 0
	}
	return coldstart.NodeShare(t.ID, g.cfg.Self, g.cfg.Registry().NodeNames(), limit)
}
