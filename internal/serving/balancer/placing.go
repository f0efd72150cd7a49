package balancer

import (
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

// Candidate is a target and what this node knows of it.
type Candidate struct {
	Target registry.Target
	// Running is the number of requests that this node has there.
	Running int
	// PendingTokens is the prompt tokens of this node's requests there that have not answered yet.
	PendingTokens int
	// InBackoff says that the target failed lately.
	InBackoff bool
}

// Request is what is to be placed.
type Request struct {
	// AffinityKey names the shared part of the prompt, "" for a request without one.
	AffinityKey string
	// SharedTokens and Tokens are the tokens of the shared part and of the whole prompt.
	SharedTokens int
	PromptTokens int
	// LocalDatacentre is the data centre that is preferred among equals.
	LocalDatacentre string
}

// crowd is how many tokens one running request counts for: its steps slow the prefill of others.
const crowd = 120

// Order lists candidates with the best first.
//
// It answers requests that share parts of their prompts, some parts much hotter than others. Each shared part has
// its target by rendezvous hash, so that nodes agree without a word; a target on which more waits than the shared
// part saves loses the request to the next one.
func Order(now time.Time, ask Request, list []Candidate) []Candidate {
	if ask.AffinityKey == "" {
		return byLoad(now, ask, list)
	}
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.Target.ID)
	}
	rank := make(map[string]int, len(ids))
	for i, id := range rendezvous.Rank(ask.AffinityKey, ids) {
		rank[id] = i
	}
	cost := func(c Candidate) int {
		n := c.PendingTokens + crowd*c.Running + ask.PromptTokens
		if rank[c.Target.ID] == 0 {
			n -= ask.SharedTokens
		}
		return n
	}
	return sound(now, list, func(a, b Candidate) bool {
		if ca, cb := cost(a), cost(b); ca != cb {
			return ca < cb
		}
		return rank[a.Target.ID] < rank[b.Target.ID]
	})
}

func byLoad(now time.Time, ask Request, list []Candidate) []Candidate {
	return sound(now, list, func(a, b Candidate) bool {
		if a.Running != b.Running {
			return a.Running < b.Running
		}
		return a.Target.Datacentre == ask.LocalDatacentre && b.Target.Datacentre != ask.LocalDatacentre
	})
}

// sound orders candidates by less, with cold ones and then those that failed lately behind the others.
func sound(now time.Time, list []Candidate, less func(a, b Candidate) bool) []Candidate {
	sorted := append([]Candidate(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.InBackoff != b.InBackoff {
			return !a.InBackoff
		}
		if ca, cb := a.Target.Cold(now), b.Target.Cold(now); ca != cb {
			return !ca
		}
		return less(a, b)
	})
	return sorted
}
