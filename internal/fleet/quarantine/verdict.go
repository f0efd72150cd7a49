package quarantine

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// A part that no node has seen a complete response for is quarantined clearGrace after clearIncidents incidents in
	// which the target had begun to respond to it.
	clearIncidents = 3
	clearGrace     = 500 * time.Millisecond
	// Any other part is quarantined doubtfulGrace after doubtfulIncidents incidents. The graces let a complete response that
	// speaks for the part arrive from another node.
	doubtfulIncidents = 5
	doubtfulGrace     = 1500 * time.Millisecond
	// suspectIncidents is the number of incidents from which a broken request with the part is not sent again.
	suspectIncidents = 2
)

// Verdicts lists the verdicts that stand at now, and when the next one is due, the zero time if none is.
func (b Board) Verdicts(now time.Time) (list []Verdict, next time.Time) {
	list = append(b.reported(now), b.foundRequests(now)...)
	found, next := b.foundParts(now, list)
	return distinct(append(list, found...)), next
}

// reported returns the standing verdicts in the nodes' reports.
func (b Board) reported(now time.Time) []Verdict {
	var list []Verdict
	for _, r := range b.reports {
		for _, v := range r.Verdicts {
			if v = b.standing(now, v); len(v.Traits) > 0 {
				list = append(list, v)
			}
		}
	}
	return list
}

// standing returns a verdict without the traits that a complete response speaks for; without traits it does not stand.
func (b Board) standing(now time.Time, v Verdict) Verdict {
	if isExpired(now, v.At) {
		return Verdict{}
	}
	v.Traits = slices.DeleteFunc(slices.Clone(v.Traits), func(t Trait) bool {
		return slices.ContainsFunc(v.Runs, b.traits[t].isCleared)
	})
	return v
}

// IsSuspect reports whether so many targets have crashed under a part that a broken request with it is not sent again.
func (b Board) IsSuspect(now time.Time, t Trait) bool {
	e, ok := b.traits[t]
	return ok && t.Kind == PromptPart && len(incidents(e.open(now))) >= suspectIncidents
}

// learnedOf returns when the node had learned of the first count incidents, the zero time if there are fewer.
func learnedOf(list []knownStrike, count int) time.Time {
	firsts := incidents(list)
	if len(firsts) < count {
		return time.Time{}
	}
	var at time.Time
	for _, s := range firsts[:count] {
		at = later(at, s.learned)
	}
	return at
}

// partDueAt returns from when on the strikes on a part are enough for a verdict, the zero time if they are not.
func partDueAt(open []knownStrike) time.Time {
	var begun []knownStrike
	for _, s := range open {
		if s.Begun && !s.Known {
			begun = append(begun, s)
		}
	}
	var from time.Time
	if at := learnedOf(begun, clearIncidents); !at.IsZero() {
		from = at.Add(clearGrace)
	}
	if at := learnedOf(open, doubtfulIncidents); !at.IsZero() && (from.IsZero() || at.Add(doubtfulGrace).Before(from)) {
		from = at.Add(doubtfulGrace)
	}
	return from
}

// candidate is a trait with its open strikes.
type candidate struct {
	trait   Trait
	strikes []knownStrike
}

func (c candidate) hasRun(run notice.Target) bool {
	return slices.ContainsFunc(c.strikes, func(s knownStrike) bool { return s.Run == run })
}

func (c candidate) runs() []notice.Target {
	list := make([]notice.Target, 0, len(c.strikes))
	for _, s := range c.strikes {
		list = append(list, s.Run)
	}
	return list
}

// foundParts returns the verdicts on parts that follow from the strikes, and when the next one is due.
//
// Parts that were struck by the same crashes are put in quarantine together: a request with only some of them is sent on, and
// tells them apart. A part whose crashes are all explained by another one's is left alone, and so is one whose crashes are
// explained by a single request.
func (b Board) foundParts(now time.Time, verdicts []Verdict) (list []Verdict, next time.Time) {
	var candidates []candidate
	for t, e := range b.traits {
		if t.Kind != PromptPart || len(e.strikes) < clearIncidents {
			continue
		}
		open := withoutExplained(t, e.open(now), verdicts)
		due := partDueAt(open)
		switch {
		case due.IsZero():
		case now.Before(due):
			if next.IsZero() || due.Before(next) {
				next = due
			}
		default:
			candidates = append(candidates, candidate{trait: t, strikes: open})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return compareTraits(a.trait, b.trait) })
	for i, c := range candidates {
		v := Verdict{Runs: lastOf(c.runs()), At: now}
		isFirst, isExplained := true, false
		for j, other := range candidates {
			if other.trait.Service != c.trait.Service {
				continue
			}
			within, contains := isSubset(c, other), isSubset(other, c)
			switch {
			case within && contains:
				v.Traits = append(v.Traits, other.trait)
				isFirst = isFirst && j >= i
			case within && hasClearSurplus(other, c):
				isExplained = true
			}
		}
		if isFirst && !isExplained {
			list = append(list, v)
		}
	}
	return list, next
}

// withoutExplained returns the strikes on a part without those that a request in quarantine explains. A request under which all of its
// crashes struck the part has the part, and counts as one crash.
func withoutExplained(part Trait, open []knownStrike, verdicts []Verdict) []knownStrike {
	for _, v := range verdicts {
		if v.Traits[0].Kind != Content || v.Traits[0].Service != part.Service {
			continue
		}
		c := candidate{strikes: open}
		hasPart := !slices.ContainsFunc(v.Runs, func(run notice.Target) bool { return !c.hasRun(run) })
		kept := make([]knownStrike, 0, len(open))
		for _, s := range open {
			if slices.Contains(v.Runs, s.Run) {
				if !hasPart {
					continue
				}
				hasPart = false
			}
			kept = append(kept, s)
		}
		open = kept
	}
	return open
}

// isSubset reports whether every run that a struck also struck b.
func isSubset(a, b candidate) bool {
	return !slices.ContainsFunc(a.strikes, func(s knownStrike) bool { return !b.hasRun(s.Run) })
}

// hasClearSurplus reports whether a was struck, beyond the runs of b, by one that had begun to respond to it.
func hasClearSurplus(a, b candidate) bool {
	return slices.ContainsFunc(a.strikes, func(s knownStrike) bool { return s.Begun && !s.Known && !b.hasRun(s.Run) })
}

// distinct returns the newest verdict on each set of traits, sorted by traits.
func distinct(list []Verdict) []Verdict {
	slices.SortStableFunc(list, func(a, b Verdict) int {
		if c := slices.CompareFunc(a.Traits, b.Traits, compareTraits); c != 0 {
			return c
		}
		return b.At.Compare(a.At)
	})
	return slices.CompactFunc(list, func(a, b Verdict) bool { return slices.Equal(a.Traits, b.Traits) })
}

// Applies reports whether a request with these traits has all traits of the verdict.
func (v Verdict) Applies(traits []Trait) bool {
	return !slices.ContainsFunc(v.Traits, func(t Trait) bool { return !slices.Contains(traits, t) })
}
