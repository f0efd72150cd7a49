package relay

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	// minFleetSize is the number of nodes from which relays save more than they risk: a small fleet makes few calls.
	minFleetSize = 16
	// relaysPerDatacentre is the number of relays in a data centre: one, and a spare in case it is lost.
	relaysPerDatacentre = 2
	// heartbeatTimeout is how long a relay may send nothing; it covers several heartbeats.
	heartbeatTimeout = time.Second
	// minStoreAge and maxStoreAge bound the age of a relay's view of the store from which it is stale: the least is its
	// longest watch without events plus the time that the report spends on the network.
	minStoreAge = 1400 * time.Millisecond
	maxStoreAge = 2200 * time.Millisecond
	// readTime is reserved for the search for another relay, and for a follower's own read of the store, after its relay has
	// become stale; ownReadTime is the part of it for the read alone.
	readTime    = 1200 * time.Millisecond
	ownReadTime = 800 * time.Millisecond
	// maxReadAge leaves a large fleet more time to read than ownReadTime where a change need not be in force soon.
	maxReadAge = 2800 * time.Millisecond
	// defaultApplyTime is the time within which a change must be in force where no bound is known.
	defaultApplyTime = 3 * time.Second
)

// RelaysFor returns the relays for a node, best first; there are none for a relay itself and for nodes of a small fleet.
//
// If every node watched the store, the number of calls would grow with the fleet. In each data centre the nodes with the
// highest link capacity are the relays, because a large configuration goes to all other nodes there at the same time. The
// store may reject all relays of a data centre, so one of each other data centre follows in the list.
func RelaysFor(self string, nodes []registry.Node) []registry.Node {
	if len(nodes) < minFleetSize {
		return nil
	}
	i := slices.IndexFunc(nodes, func(n registry.Node) bool { return n.Name == self })
	if i < 0 {
		return nil
	}
	byDatacentre := groupByDatacentre(nodes)
	local := nodes[i].Datacentre
	relays := relaysOf(byDatacentre[local], relaysPerDatacentre)
	if slices.ContainsFunc(relays, func(n registry.Node) bool { return n.Name == self }) {
		return nil
	}
	delete(byDatacentre, local)
	for _, d := range rendezvous.Rank("relay/"+self, slices.Collect(maps.Keys(byDatacentre))) {
		relays = append(relays, relaysOf(byDatacentre[d], 1)...)
	}
	return relays
}

// maxPeers bounds the nodes that are tried in place of the store.
const maxPeers = 3

// PeersFor returns the nodes that a node may follow while the store rejects it, those of its own data centre first.
//
// A store may reject some nodes and serve the others, which then have newer configurations and targets. In a fleet with
// relays only these read the store.
func PeersFor(self registry.Node, nodes []registry.Node) []registry.Node {
	if len(nodes) >= minFleetSize {
		var relays []registry.Node
		for _, local := range groupByDatacentre(nodes) {
			relays = append(relays, relaysOf(local, relaysPerDatacentre)...)
		}
		nodes = relays
	}
	byName := map[string]registry.Node{}
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		byName[n.Name] = n
		names = append(names, n.Name)
	}
	var local, remote []registry.Node
	for _, name := range rendezvous.Rank("peer/"+self.Name, names) {
		switch n := byName[name]; {
		case name == self.Name:
		case n.Datacentre == self.Datacentre:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	peers := append(local, remote...)
	return peers[:min(maxPeers, len(peers))]
}

func groupByDatacentre(nodes []registry.Node) map[string][]registry.Node {
	groups := map[string][]registry.Node{}
	for _, n := range nodes {
		groups[n.Datacentre] = append(groups[n.Datacentre], n)
	}
	return groups
}

// relaysOf returns up to count relays among the nodes of one data centre, best first.
func relaysOf(nodes []registry.Node, count int) []registry.Node {
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	rank := map[string]int{}
	for k, n := range rendezvous.Rank("relay", names) {
		rank[n] = k
	}
	ranked := slices.Clone(nodes)
	sort.Slice(ranked, func(a, b int) bool {
		if ranked[a].LinkMbps != ranked[b].LinkMbps {
			return ranked[a].LinkMbps > ranked[b].LinkMbps
		}
		return rank[ranked[a].Name] < rank[ranked[b].Name]
	})
	return ranked[:min(count, len(ranked))]
}

// MaxStoreAge returns the age of a relay's view of the store from which it is stale, given the time within which a change
// must be in force.
//
// Open watches of a store that loses its history are never answered. A relay learns that from the timeout of its watch and
// lists again, and its followers should not all turn to the store meanwhile.
func MaxStoreAge(applyTime time.Duration) time.Duration {
	return min(maxStoreAge, max(minStoreAge, applyTime-readTime))
}

// ReadAge returns the age of a node's own view of the store from which it reads the store itself, given the time within which
// a change must be in force.
//
// It holds whomever the node follows, and also while it tries to follow another node: any number of relays may be silent at
// once, and the search for one that is not takes longer the more there are.
func ReadAge(applyTime time.Duration) time.Duration {
	return min(maxReadAge, max(MaxStoreAge(applyTime), cmp.Or(applyTime, defaultApplyTime)-ownReadTime))
}

// joinGrace is the additional age that a relay's view may have when a follower joins it, and how long it may.
const joinGrace = 500 * time.Millisecond

// JoinGrace returns the additional age that the view of a relay may have that has been followed for a time, given the time
// within which a change must be in force.
//
// All followers of a lost relay come to the next one at the same moment. If its watch happens to be late, beside load, it is
// fresh again within the grace, while all of them would otherwise turn to the store, each with a list and a watch of every
// kind.
func JoinGrace(applyTime, followed time.Duration) time.Duration {
	if followed < joinGrace {
		return min(joinGrace, ReadAge(applyTime)-MaxStoreAge(applyTime))
	}
	return 0
}

// Report is the last report of a relay and the time of its receipt.
type Report struct {
	ReceivedAt time.Time
	// StoreAge is how long before its report the relay had last heard from the store.
	StoreAge time.Duration
	// MaxStoreAge is the age from which the relay is stale.
	MaxStoreAge time.Duration
}

// Fresh reports whether the report may still be relied on at now.
func (r Report) Fresh(now time.Time) bool {
	age := now.Sub(r.ReceivedAt)
	return age <= heartbeatTimeout && r.StoreAge+age <= r.MaxStoreAge
}

// FreshFor returns how long from now the report stays fresh if no other follows.
func (r Report) FreshFor(now time.Time) time.Duration {
	return min(r.ReceivedAt.Add(heartbeatTimeout).Sub(now), r.ReceivedAt.Add(r.MaxStoreAge-r.StoreAge).Sub(now))
}

// MergeLists merges two lists of one kind that were read at different versions of the store; the result has every change
// that either list has. An object that one list lacks was removed if that list is not older than the object.
func MergeLists(a, b object.List) object.List {
	byName := map[string]object.Object{}
	for _, o := range a.Items {
		byName[o.Name] = o
	}
	inB := map[string]bool{}
	for _, o := range b.Items {
		inB[o.Name] = true
		old, ok := byName[o.Name]
		if (ok && o.Version > old.Version) || (!ok && o.Version > a.Version) {
			byName[o.Name] = o
		}
	}
	merged := object.List{Version: max(a.Version, b.Version)}
	for name, o := range byName {
		if inB[name] || o.Version > b.Version {
			merged.Items = append(merged.Items, o)
		}
	}
	sort.Slice(merged.Items, func(i, j int) bool { return merged.Items[i].Name < merged.Items[j].Name })
	return merged
}
