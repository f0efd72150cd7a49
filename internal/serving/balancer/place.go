package balancer

import (
	"math"
	"time"
)

// Placement is what to do with a request now.
type Placement interface{ placement() }

// Send sends the request to the first of the targets that accepts it.
type Send struct{ Targets []Candidate }

// Wait decides again at a time.
type Wait struct{ Until time.Time }

// Reject rejects the request; RetryAfter is 0 if it is not known when there will be room.
type Reject struct{ RetryAfter time.Duration }

func (Send) placement()   {}
func (Wait) placement()   {}
func (Reject) placement() {}

// recheckInterval is how long a request waits for one of this node's requests at a target to end.
const recheckInterval = 30 * time.Millisecond

// Place decides on a request; nodes is the number of nodes that send to the same targets.
//
// It answers a service near its limit, whose targets ask one after the other to be left alone. If the load of a paused
// target went to the others at once, they would be overloaded next, and each would meet the load of all when its pause
// ends. So while a target is paused, and a little longer, this node has no more requests at each target than its share of
// the target's slots. What finds no place waits if it can still start in time, and is rejected at once otherwise.
func Place(now time.Time, r Request, list []Candidate, nodes int) Placement {
	if len(list) == 0 {
		return Reject{}
	}
	isLimited := false
	for _, c := range list {
		isLimited = isLimited || c.Recovering
	}
	var free []Candidate
	var next time.Time
	for _, c := range list {
		at := now
		switch {
		case now.Before(c.PausedUntil):
			at = c.PausedUntil
		case isLimited && c.Running >= slotShare(c.Target.Slots, nodes):
			at = now.Add(recheckInterval)
		default:
			free = append(free, c)
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	switch {
	case len(free) > 0:
		return Send{Targets: Order(now, r, free)}
	case !next.After(r.StartBy):
		return Wait{Until: next}
	default:
		return Reject{RetryAfter: next.Sub(now)}
	}
}

// slotShare returns how many of a target's slots one of the nodes may use, at least one; unknown slots are not shared.
func slotShare(slots, nodes int) int {
	if slots <= 0 {
		return math.MaxInt
	}
	nodes = max(nodes, 1)
	return (slots + nodes - 1) / nodes
}
