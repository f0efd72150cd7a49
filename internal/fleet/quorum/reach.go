package quorum

import "time"

// Contacts is what a node has heard, and of whom it knows.
type Contacts struct {
	// PlatformSeen is when the platform last confirmed the release, to this node or to one it heard from.
	PlatformSeen time.Time
	// DatacentresSeen says for each data centre with live nodes when one of its nodes was last heard.
	DatacentresSeen map[string]time.Time
	// LocalDatacentre is the node's data centre, and Alone whether it knows of no other live node there.
	LocalDatacentre string
	OnlyNode        bool
}

// HasQuorum tells whether the node may take new work at now.
//
// A node that hears the platform, itself or through others, may. One that does not must
// hear more than half of the data centres it knows of; when it hears just half, the half
// that holds the first name goes on, so that two halves never both do.
func (h Contacts) HasQuorum(now time.Time, bound time.Duration) bool {
	if now.Sub(h.PlatformSeen) <= bound {
		return true
	}
	heard, known := 0, 0
	first, firstHeard := "", false
	for name, last := range h.DatacentresSeen {
		known++
		ok := now.Sub(last) <= bound || (name == h.LocalDatacentre && h.OnlyNode)
		if ok {
			heard++
		}
		if first == "" || name < first {
			first, firstHeard = name, ok
		}
	}
	if known == 0 {
		return h.OnlyNode
	}
	return 2*heard > known || (2*heard == known && firstHeard)
}
