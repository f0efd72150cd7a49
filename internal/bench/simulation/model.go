package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
)

// reader is an emulated model target: it reads prompts one after the other and remembers shared parts.
type reader struct {
	registry.Target
	freeAt time.Time
	seen   map[string]time.Time
}

// read gives when the first event of a request comes.
func (w *world) read(m *reader, r *request) time.Time {
	now := w.clock.now
	begin := now.Add(hop / 2)
	if m.freeAt.After(begin) {
		begin = m.freeAt
	}
	tokens := r.kind.UniqueTokens + r.kind.SharedTokens
	if last, ok := m.seen[r.part()]; ok && now.Sub(last) < w.deployment.Models.PrefixTTL {
		tokens -= r.kind.SharedTokens
	} else {
		w.report.RereadTokens += r.kind.SharedTokens
	}
	m.seen[r.part()] = now
	m.freeAt = begin.Add(time.Duration(float64(tokens) / w.deployment.Models.PrefillRate * float64(time.Second)))
	return m.freeAt.Add(w.deployment.Models.BaseLatency + hop/2)
}

// atReader is what one node has at one model target.
type atReader struct{ running, unread int }

// choose gives the model target that a node sends a request to.
func (w *world) choose(r *request) *reader {
	if w.policy == Naive {
		w.turn++
		return w.readers[w.turn%len(w.readers)]
	}
	list := make([]balancer.Candidate, 0, len(w.readers))
	for _, m := range w.readers {
		x := w.loads[loadKey{r.node, m.ID}]
		list = append(list, balancer.Candidate{Target: m.Target, Running: x.running, PendingTokens: x.unread})
	}
	ask := balancer.Request{AffinityKey: r.part(), SharedTokens: r.kind.SharedTokens, PromptTokens: r.tokens(), LocalDatacentre: w.datacentre(r.node)}
	best := balancer.Order(w.clock.now, ask, list)[0].Target.ID
	for _, m := range w.readers {
		if m.ID == best {
			return m
		}
	}
	return w.readers[0]
}

type loadKey struct {
	node   int
	target string
}
