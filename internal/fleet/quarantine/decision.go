package quarantine

import (
	"slices"
	"time"
)

// Decision is what becomes of a request that is to be sent to a target: Send, SendAlone or Reject.
type Decision interface{ isDecision() }

// Send decides that a request is sent as usual.
type Send struct{}

// SendAlone decides that a request is sent only while no other request with a trait is under way: targets have crashed under it.
type SendAlone struct {
	Trait   Trait
	Crashes int
}

// Reject decides that a request is kept from targets because of a verdict.
type Reject struct {
	Verdict Verdict
	// MayTry is set if the request may be sent all the same, once this node has taken the trial of Trait for the fleet.
	MayTry bool
	Trait  Trait
}

func (Send) isDecision()      {}
func (SendAlone) isDecision() {}
func (Reject) isDecision()    {}

// decide returns the decision on a request with some traits.
func (v *view) decide(now time.Time, traits []Trait) Decision {
	for _, t := range traits {
		for _, verdict := range v.byTrait[t] {
			if verdict.Applies(traits) {
				return v.reject(now, verdict)
			}
		}
	}
	for _, t := range slices.Backward(traits) {
		if n := v.board.unknownCrashes(now, t); n > 0 {
			return SendAlone{Trait: t, Crashes: n}
		}
	}
	return Send{}
}

// reject returns the decision on a request with a verdict.
func (v *view) reject(now time.Time, verdict Verdict) Reject {
	r := Reject{Verdict: verdict, Trait: verdict.Traits[0]}
	if r.Trait.Kind != Content {
		return r
	}
	last := v.board.lastCrash(now, r.Trait)
	if last.IsZero() {
		last = verdict.At
	}
	due, ok := v.board.trials.dueAt(r.Trait, last)
	r.MayTry = ok && !now.Before(due)
	return r
}
