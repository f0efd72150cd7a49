package ratelimit

import (
	"math"
	"sync"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

const (
	// keeperCount is the number of nodes that keep the limits of a pool. Each has an equal part, so that a lost keeper costs a
	// part until another one takes its place, and one or two too many while nodes disagree on who they are stay below the
	// bound of one and a half times the limit.
	keeperCount = 3
	// usableShare is the share of a limit that its keepers grant.
	usableShare = 0.9
	// minRate is the least number of requests a second that all keepers together grant: only the response to a request tells
	// that a limit has ended.
	minRate = 0.5
)

// Pool is the targets of a service in one data centre; the same nodes keep all their limits.
type Pool struct {
	Service    string
	Datacentre string
}

// String returns the pool as SERVICE@DATACENTRE.
func (p Pool) String() string { return p.Service + "@" + p.Datacentre }

// Rank lists the nodes in the order in which they keep the limits of a pool. Those of its data centre come first: a node that
// reaches the targets most likely reaches them too.
func Rank(p Pool, r *registry.Registry) []string {
	var near, far []string
	for _, name := range r.NodeNames() {
		if n, _ := r.Node(name); n.Datacentre == p.Datacentre {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return append(rendezvous.Rank(p.String(), near), rendezvous.Rank(p.String(), far)...)
}

// Ranking remembers the ranks of pools for one list of nodes; the zero value is empty.
type Ranking struct {
	mu     sync.Mutex
	names  []string
	ranked map[Pool][]string
}

// Rank is the function Rank, which is costly in a large fleet.
func (x *Ranking) Rank(p Pool, r *registry.Registry) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	// A registry shares its list of names with those made from it until the list changes.
	names := r.NodeNames()
	if len(names) != len(x.names) || len(names) > 0 && &names[0] != &x.names[0] {
		x.names, x.ranked = names, nil
	}
	if ranked, ok := x.ranked[p]; ok {
		return ranked
	}
	if x.ranked == nil {
		x.ranked = map[Pool][]string{}
	}
	x.ranked[p] = Rank(p, r)
	return x.ranked[p]
}

// Keepers returns the first of the ranked nodes that are not known to be lost.
func Keepers(ranked []string, isLost func(node string) bool) []string {
	keepers := make([]string, 0, keeperCount)
	for _, name := range ranked {
		if isLost(name) {
			continue
		}
		if keepers = append(keepers, name); len(keepers) == keeperCount {
			break
		}
	}
	return keepers
}

// FleetRate returns how many requests a second all keepers together grant of a limit, +Inf without a limit.
func FleetRate(perSecond float64) float64 { return max(perSecond*usableShare, minRate) }

// KeeperRate returns how many requests a second one keeper grants of a limit in a fleet of a number of nodes.
func KeeperRate(perSecond float64, nodes int) float64 {
	return FleetRate(perSecond) / math.Max(1, math.Min(keeperCount, float64(nodes)))
}
