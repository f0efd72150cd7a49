package coldstart

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

const (
	// span is the time that the bound counts over; it is a little longer than a second since sends arrive with
	// delays that differ.
	span = 1100 * time.Millisecond
	// part is how much of the bound is shared out; the rest is for nodes that do not know of each other yet.
	part = 0.8
	// unknownNodes is the number of nodes taken for granted while the list has not been read.
	unknownNodes = 8
)

// NodeShare is how many sends to a cold target in a second this node may make, if all nodes together may make bound.
//
// It answers a target that returns cold under full load. Every node works its share out from the same list; where
// there are more nodes than sends, those that rank first for the target get one each.
func NodeShare(target, self string, nodes []string, bound float64) int {
	whole := int(bound * part)
	count := max(len(nodes), 1)
	if len(nodes) == 0 {
		count = unknownNodes
	}
	if whole >= count {
		return whole / count
	}
	for _, n := range rendezvous.Rank(target, nodes)[:min(whole, len(nodes))] {
		if n == self {
			return 1
		}
	}
	return 0
}

// SendWindow is the times of the latest sends to one target; the zero value has none.
type SendWindow struct {
	times []time.Time
}

// Take gives the sends with one more at now, and whether that is within share.
func (s SendWindow) Take(now time.Time, share int) (SendWindow, bool) {
	var kept []time.Time
	for _, t := range s.times {
		if now.Sub(t) < span {
			kept = append(kept, t)
		}
	}
	if len(kept) >= share {
		return SendWindow{times: kept}, false
	}
	return SendWindow{times: append(kept, now)}, true
}
