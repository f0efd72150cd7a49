package speed

import (
	"iter"
	"math"
	"time"
)

// Basis says why the calls of a service are placed by the speeds of its targets.
type Basis string

// The bases.
const (
	// None is the basis of a service whose targets are taken for alike.
	None Basis = ""
	// Reported is the basis of a service whose targets report how long work takes.
	Reported Basis = "reported"
	// Learned is the basis of a service whose targets have been found to differ.
	Learned Basis = "learned"
)

const (
	// clearDifference is the factor between the usual speeds of two targets from which they differ clearly; leastDifference is that
	// below which they no longer do, so that the basis does not change with each call.
	clearDifference = 1.25
	leastDifference = 1.15
	// minDifference is the time by which the full calls of two targets differ at least. Less may be due to the network and to this
	// process.
	minDifference = 10 * time.Millisecond
)

// BasisOf returns the basis of a service from the speeds of its targets. last is the basis so far, full the time of a full call according
// to the batch profile.
func BasisOf(last Basis, full time.Duration, speeds iter.Seq[Speed]) Basis {
	least, greatest := math.Inf(1), 0.0
	for s := range speeds {
		if s.IsReported() {
			return Reported
		}
		if s.IsLearned() {
			least, greatest = min(least, s.Usual()), max(greatest, s.Usual())
		}
	}
	difference := clearDifference
	if last == Learned {
		difference = leastDifference
	}
	if greatest >= difference*least && (greatest-least)*float64(full) >= float64(minDifference) {
		return Learned
	}
	return None
}

// Range returns the least and the greatest factor of targets at now, 0 if there are none.
func Range(now time.Time, speeds iter.Seq[Speed]) (least, greatest float64) {
	for s := range speeds {
		f := s.Factor(now)
		if least == 0 || f < least {
			least = f
		}
		greatest = max(greatest, f)
	}
	return least, greatest
}
