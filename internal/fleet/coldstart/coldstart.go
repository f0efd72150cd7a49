package coldstart

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

const (
	// window is the time over which sends are counted; it is a little longer than a second because sends arrive with
	// different delays.
	window = 1100 * time.Millisecond
	// usableShare is the share of the cold limit that known nodes use; the rest is for nodes that do not know of each
	// other yet.
	usableShare = 0.8
	// JoinTime is how long a node that starts makes no send to cold targets: until then the shares of the others may not count it.
	JoinTime = time.Second
	// defaultNodes is the number of nodes assumed until the list of nodes has been read.
	defaultNodes = 8
)

// NodeShare returns how many sends per second the node self may make to a cold target if all nodes together may make
// limit.
//
// It protects a target that restarts cold under full load. Every node computes its share from the same list; if there
// are more nodes than sends, the nodes that rank first for the target get one each. A node that is not in its list, since it
// stops, has none: the others share the limit without it.
func NodeShare(target, self string, nodes []string, limit float64) int {
	sends := int(limit * usableShare)
	count := max(len(nodes), 1)
	if len(nodes) == 0 {
		count = defaultNodes
	}
	if len(nodes) > 0 && !slices.Contains(nodes, self) {
		return 0
	}
	if sends >= count {
		return sends / count
	}
	for _, n := range rendezvous.Rank(target, nodes)[:min(sends, len(nodes))] {
		if n == self {
			return 1
		}
	}
	return 0
}

// SendWindow holds the times of the latest sends to one target; the zero value is empty.
type SendWindow struct {
	times []time.Time
}

// IsFull reports whether the window holds share sends at now.
func (w SendWindow) IsFull(now time.Time, share int) bool { return len(w.at(now)) >= share }

// at returns the sends that the window holds at now.
func (w SendWindow) at(now time.Time) []time.Time {
	var kept []time.Time
	for _, t := range w.times {
		if now.Sub(t) < window {
			kept = append(kept, t)
		}
	}
	return kept
}

// Take adds a send at now unless the window already holds share sends. It returns the new window and reports whether the
// send was added.
func (w SendWindow) Take(now time.Time, share int) (SendWindow, bool) {
	kept := w.at(now)
	if len(kept) >= share {
		return SendWindow{times: kept}, false
	}
	return SendWindow{times: append(kept, now)}, true
}
