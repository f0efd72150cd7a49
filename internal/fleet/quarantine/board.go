package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// Crashes within incidentWindow count as one incident: targets that are lost together take the common parts of their
	// requests with them.
	incidentWindow = 250 * time.Millisecond
	// lateReport is the difference between two clocks from which a report counts as late.
	lateReport = time.Second
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

// Board is an immutable record of all nodes' reports; the zero value is empty.
//
// Its load pattern: of hundreds of requests that share all parts but one, some crash each target that begins to respond to
// them, and take the other requests of the target with them. The part that crashes targets has no complete response; the
// shared ones have many.
type Board struct {
	reports  map[string]Report
	parts    map[Part]evidence
	verdicts []Verdict
}

// evidence is what is known of one part.
type evidence struct {
	strikes map[notice.Target]knownStrike
	cleared map[notice.Target]bool
}

// knownStrike is a strike with the time at which this node learned of it.
type knownStrike struct {
	Strike
	learned time.Time
}

// With returns the board with the report of a node that was received at now, in place of its earlier one.
func (b Board) With(now time.Time, node string, r Report) Board {
	reports := maps.Clone(b.reports)
	if reports == nil {
		reports = map[string]Report{}
	}
	reports[node] = r
	return b.rebuilt(now, reports)
}

// Without returns the board without the report of a node.
func (b Board) Without(now time.Time, node string) Board {
	reports := maps.Clone(b.reports)
	delete(reports, node)
	return b.rebuilt(now, reports)
}

// Report returns the report of a node.
func (b Board) Report(node string) Report { return b.reports[node] }

// Nodes lists the nodes that have reports, in order.
func (b Board) Nodes() []string { return slices.Sorted(maps.Keys(b.reports)) }

func (b Board) rebuilt(now time.Time, reports map[string]Report) Board {
	next := Board{reports: reports, parts: map[Part]evidence{}}
	get := func(p Part) evidence {
		e, ok := next.parts[p]
		if !ok {
			e = evidence{strikes: map[notice.Target]knownStrike{}, cleared: map[notice.Target]bool{}}
		}
		return e
	}
	for _, r := range reports {
		for _, s := range r.Strikes {
			e := get(s.Part)
			known := knownStrike{Strike: s, learned: now}
			if before, ok := b.parts[s.Part].strikes[s.Run]; ok {
				known.learned = before.learned
			}
			if other, ok := e.strikes[s.Run]; ok {
				known.Begun, known.Known = known.Begun || other.Begun, known.Known || other.Known
				known.At = later(known.At, other.At)
			}
			e.strikes[s.Run] = known
			next.parts[s.Part] = e
		}
		for _, c := range r.Clearances {
			e := get(c.Part)
			for _, run := range c.Runs {
				e.cleared[run] = true
			}
			next.parts[c.Part] = e
		}
		next.verdicts = append(next.verdicts, r.Verdicts...)
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// happened returns when the crash happened by this node's clock: when the node learned of it, or, if that was late, when the
// other node saw it. Clocks may differ by less than lateReport.
func (s knownStrike) happened() time.Time {
	if s.learned.Sub(s.At).Abs() > lateReport {
		return s.At
	}
	return s.learned
}

// open returns the strikes that no complete response speaks against, in the order in which they happened.
func (e evidence) open(now time.Time) []knownStrike {
	var list []knownStrike
	for run, s := range e.strikes {
		if !e.cleared[run] && !isExpired(now, s.At) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b knownStrike) int { return a.happened().Compare(b.happened()) })
	return list
}

// incidents returns the first strike of each incident.
func incidents(list []knownStrike) []knownStrike {
	var firsts []knownStrike
	for _, s := range list {
		if n := len(firsts); n == 0 || s.happened().Sub(firsts[n-1].happened()) >= incidentWindow {
			firsts = append(firsts, s)
		}
	}
	return firsts
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

// dueAt returns from when on the strikes are enough for a verdict, the zero time if they are not.
func (e evidence) dueAt(now time.Time) time.Time {
	open := e.open(now)
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

// IsSuspect reports whether so many targets have crashed under a part that a broken request with it is not sent again.
func (b Board) IsSuspect(now time.Time, p Part) bool {
	e, ok := b.parts[p]
	return ok && len(incidents(e.open(now))) >= suspectIncidents
}

// Verdicts lists the verdicts that stand at now, and when the next one is due, the zero time if none is.
func (b Board) Verdicts(now time.Time) (list []Verdict, next time.Time) {
	for _, v := range b.verdicts {
		if v = b.standing(now, v); len(v.Parts) > 0 {
			list = append(list, v)
		}
	}
	found, next := b.found(now)
	return distinct(append(list, found...)), next
}

// standing returns a verdict without the parts that a complete response speaks for; without parts it does not stand.
func (b Board) standing(now time.Time, v Verdict) Verdict {
	if isExpired(now, v.At) {
		return Verdict{}
	}
	v.Parts = slices.DeleteFunc(slices.Clone(v.Parts), func(p Part) bool {
		return slices.ContainsFunc(v.Runs, func(run notice.Target) bool { return b.parts[p].cleared[run] })
	})
	return v
}

// candidate is a part whose strikes are enough for a verdict.
type candidate struct {
	part    Part
	strikes []knownStrike
}

func (c candidate) runs() []notice.Target {
	list := make([]notice.Target, 0, len(c.strikes))
	for _, s := range c.strikes {
		list = append(list, s.Run)
	}
	return list
}

// found returns the verdicts that follow from the strikes, and when the next one is due.
//
// Parts that were struck by the same crashes are put in quarantine together: a request with only some of them is sent on, and
// tells them apart. A part whose crashes are all explained by another one's is left alone.
func (b Board) found(now time.Time) (list []Verdict, next time.Time) {
	var candidates []candidate
	for p, e := range b.parts {
		due := e.dueAt(now)
		switch {
		case due.IsZero():
		case now.Before(due):
			if next.IsZero() || due.Before(next) {
				next = due
			}
		default:
			candidates = append(candidates, candidate{part: p, strikes: e.open(now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return compareParts(a.part, b.part) })
	for i, c := range candidates {
		v := Verdict{Runs: lastOf(c.runs()), At: now}
		isFirst, isExplained := true, false
		for j, other := range candidates {
			if other.part.Service != c.part.Service {
				continue
			}
			within, contains := isSubset(c, other), isSubset(other, c)
			switch {
			case within && contains:
				v.Parts = append(v.Parts, other.part)
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

// isSubset reports whether every run that a struck also struck b.
func isSubset(a, b candidate) bool {
	runs := b.runs()
	return !slices.ContainsFunc(a.strikes, func(s knownStrike) bool { return !slices.Contains(runs, s.Run) })
}

// hasClearSurplus reports whether a was struck, beyond the runs of b, by one that had begun to respond to it.
func hasClearSurplus(a, b candidate) bool {
	runs := b.runs()
	return slices.ContainsFunc(a.strikes, func(s knownStrike) bool { return s.Begun && !s.Known && !slices.Contains(runs, s.Run) })
}

// distinct returns the newest verdict on each set of parts, sorted by parts.
func distinct(list []Verdict) []Verdict {
	slices.SortStableFunc(list, func(a, b Verdict) int {
		return cmp.Or(slices.CompareFunc(a.Parts, b.Parts, compareParts), b.At.Compare(a.At))
	})
	return slices.CompactFunc(list, func(a, b Verdict) bool { return slices.Equal(a.Parts, b.Parts) })
}

func compareParts(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

// Applies reports whether a request with these parts has all parts of the verdict.
func (v Verdict) Applies(parts []Part) bool {
	return !slices.ContainsFunc(v.Parts, func(p Part) bool { return !slices.Contains(parts, p) })
}

// Clearable lists the runs whose crashes a complete response for a part speaks against, if the request was sent at sent: those
// that this node knew of before. urgent is set if other nodes need to know.
func (b Board) Clearable(now, sent time.Time, p Part) (runs []notice.Target, urgent bool) {
	e, ok := b.parts[p]
	if !ok {
		return nil, false
	}
	open := e.open(now)
	for _, s := range open {
		if s.learned.Before(sent) {
			runs = append(runs, s.Run)
		}
	}
	stands := slices.ContainsFunc(b.verdicts, func(v Verdict) bool { return slices.Contains(b.standing(now, v).Parts, p) })
	return runs, len(runs) > 0 && (stands || len(incidents(open)) >= suspectIncidents)
}
