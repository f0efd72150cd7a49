package ratelimit

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

// priorities is the number of priorities that are told apart.
const priorities = 10

// Claim asks for one send to one of several limited targets of a pool.
type Claim struct {
	// ID identifies the claim; another one with the same ID takes its place.
	ID string
	// Targets are the targets that the request may be sent to, best first.
	Targets []notice.Target
	// Priority is 0 for the most urgent.
	Priority int
	// IsInvested is set if stages have run for the request, or part of its response has left.
	IsInvested bool
	// Worth is the size of the request against the mean of its kind.
	Worth float64
	// StartBy is until when the request may wait for a grant; one that may not wait has a time that has passed.
	StartBy time.Time
	// ReturnBy is until when the caller can come back if the claim is rejected, the zero time if the request goes to a target
	// without a limit instead.
	ReturnBy time.Time
	// ReadyAt is set if the request will ask for its grant only then, after its stages: until then the claim only keeps others
	// from being promised the same place.
	ReadyAt time.Time
}

// GoesElsewhere reports whether the request neither waits for a grant at now nor comes back for one.
func (c Claim) GoesElsewhere(now time.Time) bool {
	return c.ReturnBy.IsZero() && !c.StartBy.After(now) && !c.isAnnounced()
}

// HasWaited reports whether the time for which a claim of startedAt could wait is over at now.
func (c Claim) HasWaited(startedAt, now time.Time) bool {
	return c.StartBy.After(startedAt) && !now.Before(c.StartBy)
}

func (c Claim) isAnnounced() bool { return !c.ReadyAt.IsZero() }

// precedes reports whether a gets a place before b: urgent requests first, then those that work has been spent on, then those
// worth most, then those with the least time.
func (c Claim) precedes(b Claim) bool {
	if x, y := c.Rank(), b.Rank(); x != y {
		return x < y
	}
	if c.Worth != b.Worth {
		return c.Worth > b.Worth
	}
	return c.StartBy.Before(b.StartBy)
}

// Decision is what a keeper decides on a claim.
type Decision interface{ decision() }

// Granted allows one send to a target now.
type Granted struct{ Target notice.Target }

// Lifted says that a target of the claim has no limit any more.
type Lifted struct{}

// Announced accepts a claim that will ask later.
type Announced struct{}

// Rejected refuses a claim that cannot be granted in time; RetryAfter is when one like it could be.
type Rejected struct{ RetryAfter time.Duration }

func (Granted) decision()   {}
func (Lifted) decision()    {}
func (Announced) decision() {}
func (Rejected) decision()  {}

// Settlement is the decision on one claim.
type Settlement struct {
	ID       string
	Decision Decision
}

// Rank returns the place of the claim's urgency among all: claims of a lower rank precede those of a higher one.
func (c Claim) Rank() int {
	rank := 2 * min(max(c.Priority, 0), priorities-1)
	if !c.IsInvested {
		rank++
	}
	return rank
}
