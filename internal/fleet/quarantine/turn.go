package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

// reportTime bounds how long a report of crashes takes to reach the other nodes while the store serves.
const reportTime = 200 * time.Millisecond

// turnAt returns from when on a node may send a request again under which its targets have crashed, so that the nodes that are in
// this place do so one after the other.
//
// A node first reads its own report of the crash back, and with it all reports that were written before. The node whose target
// crashed first goes on then. Each other one waits for what comes of that, for reportTime after the last crash and each node ahead.
// A node without a crash of its own does not wait: nodes that wait for the same time would send at the same moment.
func (b Board) turnAt(now time.Time, self string, request Trait) time.Time {
	e := b.traits[request]
	var last time.Time
	runs := map[notice.Target]bool{}
	for _, s := range e.open(now) {
		if !s.Known {
			runs[s.Run] = true
			last = later(last, s.happened())
		}
	}
	var order []nodeStrike
	var published time.Time
	for _, s := range e.strikes {
		if !runs[s.Run] {
			continue
		}
		order = append(order, s)
		if s.node == self && !b.isPublished(s) {
			published = later(published, s.learned.Add(reportTime))
		}
	}
	return later(published, last.Add(time.Duration(nodesAhead(order, self))*reportTime))
}

// nodesAhead returns how many nodes come before one in the order of their first strikes, 0 for a node without a strike. After
// clearCrashes crashes none sends the request, so that more nodes need not be waited for.
func nodesAhead(strikes []nodeStrike, self string) int {
	// Other nodes read the time of a strike in milliseconds.
	slices.SortFunc(strikes, func(a, b nodeStrike) int {
		return cmp.Or(cmp.Compare(a.At.UnixMilli(), b.At.UnixMilli()), cmp.Compare(a.node, b.node))
	})
	ahead := map[string]bool{}
	for _, s := range strikes {
		if s.node == self {
			return min(len(ahead), clearCrashes-1)
		}
		ahead[s.node] = true
	}
	return 0
}

// isPublished reports whether all nodes can read of a strike of this node.
func (b Board) isPublished(own nodeStrike) bool {
	isSame := func(s Strike) bool { return s.Trait == own.Trait && s.Run == own.Run }
	if slices.ContainsFunc(b.published.Strikes, isSame) {
		return true
	}
	return slices.ContainsFunc(b.traits[own.Trait].strikes, func(s nodeStrike) bool { return s.node != own.node && isSame(s.Strike) })
}
