package balancer

import (
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

// Candidate is a target with this node's view of its load.
type Candidate struct {
	Target registry.Target
	// Running is the number of this node's requests at the target.
	Running int
	// PendingTokens is the number of prompt tokens of this node's requests there that have no response yet.
	PendingTokens int
	// InBackoff is set if the target is in back-off after a failure.
	InBackoff bool
	// PausedUntil is until when the target wants no requests from this node, the zero time if it takes them. Recovering is
	// set from the start of a pause until a little after its end.
	PausedUntil time.Time
	Recovering  bool
	// IsLimited is set if the target takes only so many requests a second from all nodes, so that each send has to be granted.
	// AskAt is when a grant may be asked for without a wait.
	IsLimited bool
	AskAt     time.Time
}

// Request describes the request that needs a target.
type Request struct {
	// AffinityKey identifies the shared prefix of the prompt, "" for a request without one.
	AffinityKey string
	// SharedTokens and PromptTokens are the numbers of tokens of the shared prefix and of the whole prompt.
	SharedTokens int
	PromptTokens int
	// LocalDatacentre is the data centre that is preferred among equally loaded targets.
	LocalDatacentre string
	// StartBy is the latest start for which the request may wait.
	StartBy time.Time
}

// runningCost is the number of tokens that one running request counts for: its decode steps slow the prefill of others.
const runningCost = 120

// Order sorts the candidates for a request, best first.
//
// Many requests share a prefix of their prompts, and some prefixes are much hotter than others. A rendezvous hash assigns
// each shared prefix to a target, so that nodes agree without communication. If more work waits at that target than the
// shared prefix saves, the request goes to the next one.
func Order(now time.Time, r Request, list []Candidate) []Candidate {
	if r.AffinityKey == "" {
		return orderByLoad(now, r, list)
	}
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.Target.ID)
	}
	rank := make(map[string]int, len(ids))
	for i, id := range rendezvous.Rank(r.AffinityKey, ids) {
		rank[id] = i
	}
	cost := func(c Candidate) int {
		n := c.PendingTokens + runningCost*c.Running + r.PromptTokens
		if rank[c.Target.ID] == 0 {
			n -= r.SharedTokens
		}
		return n
	}
	return healthyFirst(now, list, func(a, b Candidate) bool {
		if ca, cb := cost(a), cost(b); ca != cb {
			return ca < cb
		}
		return rank[a.Target.ID] < rank[b.Target.ID]
	})
}

func orderByLoad(now time.Time, r Request, list []Candidate) []Candidate {
	return healthyFirst(now, list, func(a, b Candidate) bool {
		if a.Running != b.Running {
			return a.Running < b.Running
		}
		return a.Target.Datacentre == r.LocalDatacentre && b.Target.Datacentre != r.LocalDatacentre
	})
}

// healthyFirst sorts candidates by less, with cold ones and then those in back-off after the others.
func healthyFirst(now time.Time, list []Candidate, less func(a, b Candidate) bool) []Candidate {
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
