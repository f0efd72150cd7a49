package speed

import (
	"math"
	"time"
)

const (
	// priorWeight is the weight of the assumption that a target works as usual. One observation weighs 1 at most.
	priorWeight = 4
	// halfLife is the time in which the weight of an observation decays to half. Targets report changes several times a second, and a
	// target under load reports with each call, some three times a second.
	halfLife = 1500 * time.Millisecond
	// agreement is the factor within which observations are taken for the same state of the target.
	agreement = 1.25
	// contradiction is what is left of the weight of one state after an observation of another. Without it, three figures of 250 in a row
	// after many of 100 gave a factor of 1.34 only.
	contradiction = 0.7
	// maxWeight bounds the weight of observations that agree, so that a change shows within as many further ones.
	maxWeight = 5
)

// evidence holds the latest observations of a target, as the two states that fit them best. Observations that agree weigh by the square of
// their number: a figure that changes many times a second and is the same three times is not there by chance.
type evidence struct {
	current, other state
	// at is the time of the last observation, as of which the weights are.
	at time.Time
}

// state is a number of observations that agree.
type state struct {
	// value is the mean of the logarithms that were observed; weight is their number, decayed by age.
	value, weight float64
}

// with returns the evidence with the observation of a logarithm at now.
func (e evidence) with(now time.Time, x float64) evidence {
	d := e.decay(now)
	e.current.weight *= d
	e.other.weight *= d
	if now.After(e.at) {
		e.at = now
	}
	switch {
	case e.current.agrees(x):
		e.current = e.current.with(x)
	case e.other.agrees(x):
		e.current, e.other = e.other.with(x), e.current
	case e.current.weight >= e.other.weight:
		e.current, e.other = state{}.with(x), e.current
	default:
		e.current = state{}.with(x)
	}
	e.other.weight *= contradiction
	return e
}

// isConfirmed reports whether the last observation agrees with an earlier one.
func (e evidence) isConfirmed() bool { return e.current.weight > 1 }

// contradictedBy returns the evidence after an observation of another kind, which says that its values should be near x.
func (e evidence) contradictedBy(x float64) evidence {
	for _, s := range [...]*state{&e.current, &e.other} {
		if !s.agrees(x) {
			s.weight *= contradiction
		}
	}
	return e
}

// decay returns the factor by which weights have decayed at now.
func (e evidence) decay(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(e.at).Seconds()) / halfLife.Seconds())
}

// weighted returns the weight of the evidence at now, and the sum of its values times their weights.
func (e evidence) weighted(now time.Time) (sum, weight float64) {
	d := e.decay(now)
	for _, s := range [...]state{e.current, e.other} {
		w := s.weight * d * s.weight * d
		sum += w * s.value
		weight += w
	}
	return sum, weight
}

// mean returns the value that the evidence and the assumption that the target works as usual give together.
func (e evidence) mean(now time.Time) float64 {
	sum, weight := e.weighted(now)
	return sum / (priorWeight + weight)
}

func (s state) agrees(x float64) bool {
	return s.weight > 0 && math.Abs(x-s.value) <= math.Log(agreement)
}

func (s state) with(x float64) state {
	s.value = (s.value*s.weight + x) / (s.weight + 1)
	s.weight = min(maxWeight, s.weight+1)
	return s
}
