package balancer

import (
	"math"
	"time"
)

// Placement is what to do with a request now.
type Placement interface{ placement() }

// Send sends the request to the first of the targets that accepts it.
type Send struct{ Targets []Candidate }

// Ask asks for a grant of one of the limited targets, best first, and waits for it: no other target takes the request.
type Ask struct{ Targets []Candidate }

// Wait decides again at a time.
type Wait struct{ Until time.Time }

// Reject rejects the request; RetryAfter is 0 if it is not known when there will be room.
type Reject struct{ RetryAfter time.Duration }

func (Send) placement()   {}
func (Ask) placement()    {}
func (Wait) placement()   {}
func (Reject) placement() {}

// recheckInterval is how long a request waits for one of this node's requests at a target to end.
const recheckInterval = 30 * time.Millisecond

// Place decides on a request; nodes is the number of nodes that send to the same targets.
//
// Load pattern: a service near its limit, whose targets ask one after the other to be left alone, or to be sent less. If the load
// of such a target went to the others at once, they would be overloaded next, and each would meet the load of all when it
// takes requests again. So while a target is paused or limited, and a little longer, this node has no more requests at each
// target than its share of the target's slots. What finds no place waits if it can still start in time, and is rejected at
// once otherwise.
//
// A limited target is chosen like any other as long as a grant may be had at once. Requests wait for one only if the other
// targets take them neither now nor in time.
func Place(now time.Time, r Request, list []Candidate, nodes int) Placement {
	if len(list) == 0 {
		return Reject{}
	}
	isScarce := false
	for _, c := range list {
		isScarce = isScarce || c.Recovering || c.IsLimited
	}
	var free, limited []Candidate
	isFree := false
	var next time.Time
	for _, c := range list {
		at := now
		switch {
		case now.Before(c.PausedUntil):
			at = c.PausedUntil
		case c.IsLimited:
			limited = append(limited, c)
			if !c.AskAt.After(now) {
				free = append(free, c)
			}
			continue
		case isScarce && c.Running >= slotShare(c.Target.Slots, nodes):
			at = now.Add(recheckInterval)
		default:
			free = append(free, c)
			isFree = true
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	switch {
	case isFree || len(free) > 0 && !next.IsZero():
		return Send{Targets: Order(now, r, free)}
	case !next.IsZero() && !next.After(r.StartBy):
		return Wait{Until: next}
	case len(limited) > 0:
		return Ask{Targets: Order(now, r, limited)}
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
