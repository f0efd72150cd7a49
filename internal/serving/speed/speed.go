package speed

import (
	"math"
	"time"
)

const (
	// minFactor and maxFactor bound all factors: times outside of them come from a fault or a false report, not from a slow machine.
	minFactor = 0.1
	maxFactor = 10
	// learnedCalls is the number of calls after which the usual speed of a target counts as known. The initial assumption then weighs a
	// thirteenth.
	learnedCalls = 12
	// minGain is the least weight of a new call in the usual speed. Thirty-two calls are some ten seconds under load.
	minGain = 1.0 / 32
	// maxStep bounds the factor by which one call may differ from the usual speed that it changes, so that a single stall of ten times the
	// usual time moves it by 1.3 %.
	maxStep = 1.5
)

// Speed is what is known of how long work takes at one run of a target, as a factor of the time that its batch profile names: 1.7 for a
// target that takes 1.7 times as long. The zero value is a target of which nothing is known; its factor is 1. Values are immutable.
type Speed struct {
	// usual is the logarithm of the usual factor, learned from calls.
	usual float64
	calls int
	// reported holds the logarithms of the figures that the target reports, relative to its usual speed. measured holds those of the
	// latest calls, relative to the batch profile.
	reported evidence
	measured evidence
}

// Call is one call that a target has completed.
type Call struct {
	// Took is the measured time of the call, Profile the time of its work according to the batch profile.
	Took    time.Duration
	Profile time.Duration
	// MayHaveWaited is set if the call may have waited behind calls of others, so that its time is only an upper bound of its work.
	MayHaveWaited bool
}

// WithReport returns the speed with what the target reports at now: how long work takes, relative to its usual time.
func (s Speed) WithReport(now time.Time, factor float64) Speed {
	if !(factor > 0) {
		return s
	}
	x := boundedLog(factor)
	s.reported = s.reported.with(now, x)
	// Reports are of the present, while the latest calls that show anything may be some seconds old.
	if s.IsLearned() && s.reported.isConfirmed() {
		s.measured = s.measured.contradictedBy(s.usual + x)
	}
	return s
}

// WithCall returns the speed with a call that ended at now.
//
// What the target has reported of the present is taken out of the usual speed, so that a slow period that it reports does not count
// twice. A call that may have waited counts only if it was faster than expected.
func (s Speed) WithCall(now time.Time, c Call) Speed {
	if c.Took <= 0 || c.Profile <= 0 {
		return s
	}
	x := boundedLog(float64(c.Took) / float64(c.Profile))
	if c.MayHaveWaited && x >= s.log(now) {
		return s
	}
	step := x - s.reported.mean(now) - s.usual
	limit := math.Log(maxStep)
	usual := s.usual + max(-limit, min(limit, step))*max(minGain, 1/float64(s.calls+2))
	s.usual = max(math.Log(minFactor), min(math.Log(maxFactor), usual))
	s.calls = min(s.calls+1, learnedCalls+int(1/minGain))
	s.measured = s.measured.with(now, x)
	return s
}

// Usual returns the factor of the target's usual speed.
func (s Speed) Usual() float64 { return math.Exp(s.usual) }

// Factor returns the expected factor of work that starts at now.
func (s Speed) Factor(now time.Time) float64 { return math.Exp(s.log(now)) }

// Present returns the expected factor of work that starts at now, relative to the usual speed.
func (s Speed) Present(now time.Time) float64 { return math.Exp(s.log(now) - s.usual) }

// IsLearned reports whether the usual speed is known from enough calls.
func (s Speed) IsLearned() bool { return s.calls >= learnedCalls }

// IsReported reports whether the target reports how long work takes.
func (s Speed) IsReported() bool { return !s.reported.at.IsZero() }

// log returns the logarithm of Factor: the mean of the usual speed, the reports and the latest calls by their weights.
func (s Speed) log(now time.Time) float64 {
	reportSum, reportWeight := s.reported.weighted(now)
	callSum, callWeight := s.measured.weighted(now)
	sum := priorWeight*s.usual + reportSum + reportWeight*s.usual + callSum
	return sum / (priorWeight + reportWeight + callWeight)
}

func boundedLog(factor float64) float64 { return math.Log(max(minFactor, min(maxFactor, factor))) }
