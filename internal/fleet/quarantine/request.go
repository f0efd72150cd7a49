package quarantine

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// A request that was never answered is quarantined after clearCrashes crashes of targets that ran it, or after soleCrashes if
	// nothing else was at one of the targets. One that was answered before is quarantined after doubtfulIncidents incidents.
	clearCrashes = 3
	soleCrashes  = 2
)

// foundRequests returns the verdicts on requests that follow from the strikes.
//
// Each attempt of a request is at one target, so that each crash under it counts, however soon it follows the last.
func (b Board) foundRequests(now time.Time) []Verdict {
	suspects := b.suspects(now)
	var list []Verdict
	for _, c := range suspects {
		if !b.isProven(c, suspects) {
			continue
		}
		list = append(list, Verdict{Traits: []Trait{c.trait}, Runs: lastOf(c.runs()), At: now})
	}
	return list
}

// suspects returns the requests under which several targets have crashed.
func (b Board) suspects(now time.Time) []candidate {
	var list []candidate
	for t, e := range b.traits {
		if t.Kind != Content || len(e.strikes) < soleCrashes {
			continue
		}
		if open := e.open(now); len(open) >= soleCrashes {
			list = append(list, candidate{trait: t, strikes: open})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return compareTraits(a.trait, b.trait) })
	return list
}

// isProven reports whether the strikes on a request are enough for a verdict.
func (b Board) isProven(c candidate, suspects []candidate) bool {
	unknown := countUnknown(c.strikes)
	switch {
	case unknown >= clearCrashes, len(incidents(c.strikes)) >= doubtfulIncidents:
		return true
	default:
		return unknown >= soleCrashes && unknown == len(c.strikes) && b.isSole(c, suspects)
	}
}

// countUnknown returns the number of strikes by nodes that had not seen the request answered.
func countUnknown(list []knownStrike) int {
	n := 0
	for _, s := range list {
		if !s.Known {
			n++
		}
	}
	return n
}

// isSole reports whether nothing but one request has the crashes that struck it in common: it was alone at one of the targets, no
// other request was at two of them, and no other target was lost at about the same time.
func (b Board) isSole(c candidate, suspects []candidate) bool {
	for _, other := range suspects {
		if other.trait.Service != c.trait.Service || other.trait == c.trait {
			continue
		}
		common := 0
		for _, s := range c.strikes {
			if other.hasRun(s.Run) {
				common++
			}
		}
		if common >= soleCrashes {
			return false
		}
	}
	shared := map[notice.Target]bool{}
	for t, e := range b.traits {
		if t.Service != c.trait.Service || t == c.trait {
			continue
		}
		for _, s := range e.strikes {
			switch {
			case c.hasRun(s.Run):
				shared[s.Run] = shared[s.Run] || t.Kind == Content
			case isNear(s, c.strikes):
				return false
			}
		}
	}
	return slices.ContainsFunc(c.strikes, func(s knownStrike) bool { return !shared[s.Run] })
}

// isNear reports whether a crash happened within incidentWindow of one in a list.
func isNear(s nodeStrike, list []knownStrike) bool {
	at := knownStrike{Strike: s.Strike, learned: s.learned}.happened()
	return slices.ContainsFunc(list, func(x knownStrike) bool { return x.happened().Sub(at).Abs() < incidentWindow })
}

// unknownCrashes returns the number of targets that crashed under a request which was not answered before.
func (b Board) unknownCrashes(now time.Time, t Trait) int {
	e, ok := b.traits[t]
	if !ok || t.Kind != Content {
		return 0
	}
	return countUnknown(e.open(now))
}

// lastCrash returns when the last crash that counts against a trait happened, the zero time if none does.
func (b Board) lastCrash(now time.Time, t Trait) time.Time {
	var at time.Time
	for _, s := range b.traits[t].open(now) {
		at = later(at, s.happened())
	}
	return at
}
