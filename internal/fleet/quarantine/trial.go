package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxTrials bounds how often the fleet sends a request that is in quarantine to a target; a trial that ends in a crash is the
	// last one.
	maxTrials = 2
	// firstTrialDelay is the time from the last crash under a request to its first trial, nextTrialDelay that from a trial to the
	// next one.
	firstTrialDelay = 10 * time.Second
	nextTrialDelay  = time.Minute
	// maxTrialEntries bounds the requests whose trials are remembered; further requests get none.
	maxTrialEntries = 256
)

// Trial records how often a request in quarantine has been sent to a target all the same, and when it was last.
//
// A sound request may have been at several targets that crashed by chance, and in quarantine nothing can speak for it.
type Trial struct {
	Trait Trait
	Count int
	At    time.Time
}

// Trials is an immutable record of the trials of the whole fleet; the zero value is empty.
type Trials struct {
	byTrait map[Trait]Trial
}

// NewTrials returns a record of some trials.
func NewTrials(list []Trial) Trials {
	t := Trials{byTrait: make(map[Trait]Trial, len(list))}
	for _, x := range list {
		t.byTrait[x.Trait] = x
	}
	return t
}

// List returns the trials, in the order of their traits.
func (t Trials) List() []Trial {
	return slices.SortedFunc(maps.Values(t.byTrait), func(a, b Trial) int { return compareTraits(a.Trait, b.Trait) })
}

// dueAt returns from when on a request may have a trial, given when a target last crashed under it; false if it has had all.
func (t Trials) dueAt(request Trait, lastCrash time.Time) (time.Time, bool) {
	x, ok := t.byTrait[request]
	switch {
	case !ok:
		return lastCrash.Add(firstTrialDelay), len(t.byTrait) < maxTrialEntries
	case x.Count >= maxTrials, !lastCrash.Before(x.At):
		return time.Time{}, false
	default:
		return x.At.Add(nextTrialDelay), true
	}
}

// With returns the record with one more trial of a request, without those that have expired.
func (t Trials) With(now time.Time, request Trait) Trials {
	next := Trials{byTrait: make(map[Trait]Trial, len(t.byTrait)+1)}
	for k, x := range t.byTrait {
		if !isExpired(now, x.At) {
			next.byTrait[k] = x
		}
	}
	next.byTrait[request] = Trial{Trait: request, Count: next.byTrait[request].Count + 1, At: now}
	return next
}

// Without returns the record without the trials of a request, which has been answered.
func (t Trials) Without(request Trait) Trials {
	next := Trials{byTrait: maps.Clone(t.byTrait)}
	delete(next.byTrait, request)
	return next
}
