package quorum

import "time"

// Contacts records when a node last heard from the platform and from the data centres that it knows.
type Contacts struct {
	// PlatformSeen is when the platform last confirmed the active release, to this node or to a peer it heard from.
	PlatformSeen time.Time
	// DatacentresSeen holds for each data centre with live nodes when one of its nodes was last heard.
	DatacentresSeen map[string]time.Time
	// LocalDatacentre is the node's data centre. OnlyLocalNode is set if the node knows of no other live node there.
	LocalDatacentre string
	OnlyLocalNode   bool
}

// HasQuorum reports whether the node may take new work at now.
//
// A node that is in contact with the platform, itself or through others, may. Any other node needs contact with more
// than half of the data centres that it knows of. With exactly half of them, the half with the first name has the
// quorum, so that two halves never both have it.
func (c Contacts) HasQuorum(now time.Time, maxAge time.Duration) bool {
	if now.Sub(c.PlatformSeen) <= maxAge {
		return true
	}
	reachable, known := 0, 0
	first, isFirstReachable := "", false
	for name, seen := range c.DatacentresSeen {
		known++
		ok := now.Sub(seen) <= maxAge || (name == c.LocalDatacentre && c.OnlyLocalNode)
		if ok {
			reachable++
		}
		if first == "" || name < first {
			first, isFirstReachable = name, ok
		}
	}
	if known == 0 {
		return c.OnlyLocalNode
	}
	return 2*reachable > known || (2*reachable == known && isFirstReachable)
}
