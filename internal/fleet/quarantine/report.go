package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// retention is how long evidence counts after it was last confirmed.
	retention = time.Hour
	// maxEntries bounds each list of a report; the oldest entries are dropped first.
	maxEntries = 64
	// maxRequestStrikes and maxRequestVerdicts bound what a report says of whole requests.
	maxRequestStrikes  = 512
	maxRequestVerdicts = 256
)

// Strike is the crash of one run of a target while it ran a request with a trait.
type Strike struct {
	Trait Trait
	Run   notice.Target
	// At is the time of the crash, by the clock of the node that saw it.
	At time.Time
	// Begun is set if the target had begun a response to the request and not yet sent anything complete.
	Begun bool
	// Known is set if the node had seen a complete response to a request with the trait before.
	Known bool
}

// Verdict puts the requests of a service that have all of some traits in quarantine, because of the crashes of some runs. It has
// more than one trait if they are parts of prompts that no request has told apart yet.
type Verdict struct {
	Traits []Trait
	Runs   []notice.Target
	// At is the time of the verdict or its last confirmation, by the clock of the node that made it.
	At time.Time
}

// IDs returns the IDs of the traits, which are of one kind.
func (v Verdict) IDs() []string {
	ids := make([]string, 0, len(v.Traits))
	for _, t := range v.Traits {
		ids = append(ids, t.ID)
	}
	return ids
}

// Clearance says that a request with a trait was answered completely, which speaks against the crashes of some runs.
type Clearance struct {
	Trait Trait
	Runs  []notice.Target
	// At is the time of the response, by the clock of the node that saw it.
	At time.Time
}

// Report is what one node has found; it is immutable.
type Report struct {
	Strikes    []Strike
	Verdicts   []Verdict
	Clearances []Clearance
}

// IsEmpty reports whether the report says nothing.
func (r Report) IsEmpty() bool {
	return len(r.Strikes) == 0 && len(r.Verdicts) == 0 && len(r.Clearances) == 0
}

// WithStrike returns the report with a strike, unless it has one for the same trait and run that says as much.
func (r Report) WithStrike(s Strike) Report {
	list := slices.Clone(r.Strikes)
	for i, x := range list {
		if x.Trait != s.Trait || x.Run != s.Run {
			continue
		}
		if x.Begun || !s.Begun {
			return r
		}
		list[i].Begun = true
		r.Strikes = list
		return r
	}
	r.Strikes = append(list, s)
	return r
}

// Bounded returns the report with lists of bounded length. Of the strikes on requests, those on the ones that the fewest targets
// crashed under, by runs, and the oldest of these are dropped first: most requests at a lost target are there by chance.
func (r Report) Bounded(runs func(Trait) int) Report {
	var parts, requests []Strike
	for _, s := range r.Strikes {
		if s.Trait.Kind == Content {
			requests = append(requests, s)
			continue
		}
		parts = append(parts, s)
	}
	if surplus := len(requests) - maxRequestStrikes; surplus > 0 {
		counts := make(map[Trait]int, len(requests))
		for _, s := range requests {
			counts[s.Trait] = runs(s.Trait)
		}
		slices.SortStableFunc(requests, func(a, b Strike) int {
			return cmp.Or(cmp.Compare(counts[a.Trait], counts[b.Trait]), a.At.Compare(b.At))
		})
		requests = requests[surplus:]
	}
	r.Strikes = append(lastOf(parts), requests...)
	return r
}

// IsOversized reports whether the report has more entries, or more runs in one, than a node writes. A node that has started again
// joins two reports.
func (r Report) IsOversized() bool {
	const reports = 2
	return len(r.Strikes) > reports*(maxEntries+maxRequestStrikes) || len(r.Verdicts) > reports*(maxEntries+maxRequestVerdicts) || len(r.Clearances) > reports*maxEntries ||
		slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return len(v.Runs) > maxEntries }) ||
		slices.ContainsFunc(r.Clearances, func(c Clearance) bool { return len(c.Runs) > maxEntries })
}

// WithoutStrikes returns the report without the strikes on a trait by some runs.
func (r Report) WithoutStrikes(t Trait, runs []notice.Target) Report {
	r.Strikes = slices.DeleteFunc(slices.Clone(r.Strikes), func(s Strike) bool { return s.Trait == t && slices.Contains(runs, s.Run) })
	return r
}

// renamed returns the report with some traits named otherwise.
func (r Report) renamed(names map[Trait]Trait) Report {
	rename := func(t Trait) Trait {
		if name, ok := names[t]; ok {
			return name
		}
		return t
	}
	next := Report{Strikes: slices.Clone(r.Strikes), Verdicts: slices.Clone(r.Verdicts), Clearances: slices.Clone(r.Clearances)}
	for i := range next.Strikes {
		next.Strikes[i].Trait = rename(r.Strikes[i].Trait)
	}
	for i, v := range r.Verdicts {
		next.Verdicts[i].Traits = nil
		for _, t := range v.Traits {
			next.Verdicts[i].Traits = append(next.Verdicts[i].Traits, rename(t))
		}
	}
	for i := range next.Clearances {
		next.Clearances[i].Trait = rename(r.Clearances[i].Trait)
	}
	return next
}

// WithoutRun returns the report without the strikes of a run, which has not crashed.
func (r Report) WithoutRun(run notice.Target) Report {
	r.Strikes = slices.DeleteFunc(slices.Clone(r.Strikes), func(s Strike) bool { return s.Run == run })
	return r
}

// WithVerdict returns the report with a verdict in place of an earlier one on the same traits.
func (r Report) WithVerdict(v Verdict) Report {
	kept := slices.DeleteFunc(slices.Clone(r.Verdicts), func(x Verdict) bool { return slices.Equal(x.Traits, v.Traits) })
	r.Verdicts = lastVerdicts(append(kept, v))
	return r
}

// WithClearance returns the report with a clearance, joined with an earlier one of the same trait.
func (r Report) WithClearance(c Clearance) Report {
	var kept []Clearance
	for _, x := range r.Clearances {
		if x.Trait == c.Trait {
			c.Runs = union(x.Runs, c.Runs)
			continue
		}
		kept = append(kept, x)
	}
	r.Clearances = lastOf(append(kept, c))
	return r
}

// WithReport returns the report joined with another one of the same node, from before a restart.
func (r Report) WithReport(other Report) Report {
	for _, s := range other.Strikes {
		r = r.WithStrike(s)
	}
	for _, v := range other.Verdicts {
		if !slices.ContainsFunc(r.Verdicts, func(x Verdict) bool { return slices.Equal(x.Traits, v.Traits) && !x.At.Before(v.At) }) {
			r = r.WithVerdict(v)
		}
	}
	for _, c := range other.Clearances {
		r = r.WithClearance(c)
	}
	return r
}

// Withdraws reports whether the report lacks a strike of an earlier one.
func (r Report) Withdraws(earlier Report) bool {
	return slices.ContainsFunc(earlier.Strikes, func(s Strike) bool {
		return !slices.ContainsFunc(r.Strikes, func(x Strike) bool { return x.Trait == s.Trait && x.Run == s.Run })
	})
}

// Pruned returns the report without what has expired.
func (r Report) Pruned(now time.Time) Report {
	return Report{
		Strikes:    slices.DeleteFunc(slices.Clone(r.Strikes), func(s Strike) bool { return isExpired(now, s.At) }),
		Verdicts:   slices.DeleteFunc(slices.Clone(r.Verdicts), func(v Verdict) bool { return isExpired(now, v.At) }),
		Clearances: slices.DeleteFunc(slices.Clone(r.Clearances), func(c Clearance) bool { return isExpired(now, c.At) }),
	}
}

func isExpired(now, at time.Time) bool { return now.Sub(at) > retention }

func lastOf[T any](list []T) []T { return list[max(0, len(list)-maxEntries):] }

func union(a, b []notice.Target) []notice.Target {
	list := slices.Clone(a)
	for _, run := range b {
		if !slices.Contains(list, run) {
			list = append(list, run)
		}
	}
	return lastOf(list)
}

// lastVerdicts returns the newest verdicts of each kind.
func lastVerdicts(list []Verdict) []Verdict {
	var parts, requests []Verdict
	for _, v := range list {
		if v.Traits[0].Kind == Content {
			requests = append(requests, v)
			continue
		}
		parts = append(parts, v)
	}
	return append(lastOf(parts), requests[max(0, len(requests)-maxRequestVerdicts):]...)
}

// traitReport is what a report says of one trait.
type traitReport struct {
	strikes []Strike
	cleared []notice.Target
}

// byTrait returns what the report says of each trait.
func (r Report) byTrait() map[Trait]traitReport {
	said := map[Trait]traitReport{}
	for _, s := range r.Strikes {
		x := said[s.Trait]
		x.strikes = append(x.strikes, s)
		said[s.Trait] = x
	}
	for _, c := range r.Clearances {
		x := said[c.Trait]
		x.cleared = append(x.cleared, c.Runs...)
		said[c.Trait] = x
	}
	return said
}
