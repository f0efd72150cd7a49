package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
)

// modelTarget is an emulated model target that prefills one prompt at a time and caches shared prefixes.
type modelTarget struct {
	registry.Target
	freeAt       time.Time
	prefixUsedAt map[string]time.Time
}

// prefill adds a request's prompt to a target and returns when the first event of its response arrives.
func (s *sim) prefill(m *modelTarget, r *request) time.Time {
	now := s.clock.now
	startAt := now.Add(roundTrip / 2)
	if m.freeAt.After(startAt) {
		startAt = m.freeAt
	}
	tokens := r.kind.UniqueTokens + r.kind.SharedTokens
	if last, ok := m.prefixUsedAt[r.sharedPrefix()]; ok && now.Sub(last) < s.deployment.Models.PrefixTTL {
		tokens -= r.kind.SharedTokens
	} else {
		s.report.RereadTokens += r.kind.SharedTokens
	}
	m.prefixUsedAt[r.sharedPrefix()] = now
	m.freeAt = startAt.Add(time.Duration(float64(tokens) / s.deployment.Models.PrefillRate * float64(time.Second)))
	return m.freeAt.Add(s.deployment.Models.BaseLatency + roundTrip/2)
}

// modelLoad is the load that one node has placed on one model target.
type modelLoad struct{ running, pendingTokens int }

// chooseModel returns the model target that a node sends a request to.
func (s *sim) chooseModel(r *request) *modelTarget {
	if s.policy == Naive {
		s.roundRobin++
		return s.modelTargets[s.roundRobin%len(s.modelTargets)]
	}
	candidates := make([]balancer.Candidate, 0, len(s.modelTargets))
	for _, m := range s.modelTargets {
		load := s.modelLoads[loadKey{r.node, m.ID}]
		candidates = append(candidates, balancer.Candidate{Target: m.Target, Running: load.running, PendingTokens: load.pendingTokens})
	}
	query := balancer.Request{AffinityKey: r.sharedPrefix(), SharedTokens: r.kind.SharedTokens, PromptTokens: r.promptTokens(), LocalDatacentre: s.datacentre(r.node)}
	bestID := balancer.Order(s.clock.now, query, candidates)[0].Target.ID
	for _, m := range s.modelTargets {
		if m.ID == bestID {
			return m
		}
	}
	return s.modelTargets[0]
}

type loadKey struct {
	node   int
	target string
}
