package relay

import (
	"slices"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	// from is the size of fleet at which relays save more than they risk: a small fleet makes few calls.
	from = 16
	// each is the number of relays in a data centre: one, and one for when it is lost.
	each = 2
	// maxSilence is how long a relay may send nothing; it beats several times in it.
	maxSilence = time.Second
	// maxAge is how old a relay's word of the store may be: its longest watch without events, and the way.
	maxAge = 1400 * time.Millisecond
)

// RelaysFor gives the relays for a node, best first; a relay itself, and every node of a small fleet, gets none.
//
// It answers a fleet whose every node watches the store: calls then grow with the nodes. The nodes with the widest
// links of each data centre relay, as a large configuration goes to all others there at once.
func RelaysFor(self string, nodes []registry.Node) []registry.Node {
	if len(nodes) < from {
		return nil
	}
	i := slices.IndexFunc(nodes, func(n registry.Node) bool { return n.Name == self })
	if i < 0 {
		return nil
	}
	var near []registry.Node
	var names []string
	for _, n := range nodes {
		if n.Datacentre == nodes[i].Datacentre {
			near = append(near, n)
			names = append(names, n.Name)
		}
	}
	rank := map[string]int{}
	for k, n := range rendezvous.Rank("relay", names) {
		rank[n] = k
	}
	sort.Slice(near, func(a, b int) bool {
		if near[a].LinkMbps != near[b].LinkMbps {
			return near[a].LinkMbps > near[b].LinkMbps
		}
		return rank[near[a].Name] < rank[near[b].Name]
	})
	near = near[:min(each, len(near))]
	if slices.ContainsFunc(near, func(n registry.Node) bool { return n.Name == self }) {
		return nil
	}
	return near
}

// Report is what a relay last said, and when it was heard.
type Report struct {
	ReceivedAt time.Time
	// StoreAge is how long before that the relay had last heard the store.
	StoreAge time.Duration
}

// Fresh tells whether a relay may still be believed at now.
func (w Report) Fresh(now time.Time) bool {
	since := now.Sub(w.ReceivedAt)
	return since <= maxSilence && w.StoreAge+since <= maxAge
}

// FreshFor is how long a relay may still be believed from now if it says nothing more.
func (w Report) FreshFor(now time.Time) time.Duration {
	return min(w.ReceivedAt.Add(maxSilence).Sub(now), w.ReceivedAt.Add(maxAge-w.StoreAge).Sub(now))
}

// MergeLists joins two lists of a kind that were read at different versions of the store; the result knows all that either
// knows. An object that one list lacks was removed if that list is not older than the object.
func MergeLists(a, b object.List) object.List {
	byName := map[string]object.Object{}
	for _, o := range a.Items {
		byName[o.Name] = o
	}
	inB := map[string]bool{}
	for _, o := range b.Items {
		inB[o.Name] = true
		before, ok := byName[o.Name]
		if (ok && o.Version > before.Version) || (!ok && o.Version > a.Version) {
			byName[o.Name] = o
		}
	}
	out := object.List{Version: max(a.Version, b.Version)}
	for name, o := range byName {
		if inB[name] || o.Version > b.Version {
			out.Items = append(out.Items, o)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Name < out.Items[j].Name })
	return out
}
