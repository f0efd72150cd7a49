package quarantine

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// retention is how long evidence counts after it was last confirmed.
	retention = time.Hour
	// maxEntries bounds each list of a report; the oldest entries are dropped first.
	maxEntries = 64
)

// Part identifies a part of prompts that are sent to the targets of a service.
type Part struct {
	Service string
	ID      string
}

// Strike is the crash of one run of a target while it ran a request with a part.
type Strike struct {
	Part Part
	Run  notice.Target
	// At is the time of the crash, by the clock of the node that saw it.
	At time.Time
	// Begun is set if the target had begun a response to the request and not yet sent anything complete.
	Begun bool
	// Known is set if the node had seen a complete response to a request with the part before.
	Known bool
}

// Verdict puts the requests of a service that have all of some parts in quarantine, because of the crashes of some runs. It has
// more than one part if no request has told them apart yet.
type Verdict struct {
	Parts []Part
	Runs  []notice.Target
	// At is the time of the verdict or its last confirmation, by the clock of the node that made it.
	At time.Time
}

// PartIDs returns the IDs of the parts.
func (v Verdict) PartIDs() []string {
	ids := make([]string, 0, len(v.Parts))
	for _, p := range v.Parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// Clearance says that a request with a part was answered completely that was sent after the crashes of some runs were known.
type Clearance struct {
	Part Part
	Runs []notice.Target
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

// WithStrike returns the report with a strike, unless it has one for the same part and run that says as much.
func (r Report) WithStrike(s Strike) Report {
	list := slices.Clone(r.Strikes)
	for i, x := range list {
		if x.Part != s.Part || x.Run != s.Run {
			continue
		}
		if x.Begun || !s.Begun {
			return r
		}
		list[i].Begun = true
		r.Strikes = list
		return r
	}
	r.Strikes = lastOf(append(list, s))
	return r
}

// WithoutRun returns the report without the strikes of a run, which has not crashed.
func (r Report) WithoutRun(run notice.Target) Report {
	r.Strikes = slices.DeleteFunc(slices.Clone(r.Strikes), func(s Strike) bool { return s.Run == run })
	return r
}

// WithVerdict returns the report with a verdict in place of an earlier one on the same parts.
func (r Report) WithVerdict(v Verdict) Report {
	kept := slices.DeleteFunc(slices.Clone(r.Verdicts), func(x Verdict) bool { return slices.Equal(x.Parts, v.Parts) })
	r.Verdicts = lastOf(append(kept, v))
	return r
}

// WithClearance returns the report with a clearance, joined with an earlier one of the same part.
func (r Report) WithClearance(c Clearance) Report {
	var kept []Clearance
	for _, x := range r.Clearances {
		if x.Part == c.Part {
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
		if !slices.ContainsFunc(r.Verdicts, func(x Verdict) bool { return slices.Equal(x.Parts, v.Parts) && !x.At.Before(v.At) }) {
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
		return !slices.ContainsFunc(r.Strikes, func(x Strike) bool { return x.Part == s.Part && x.Run == s.Run })
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
