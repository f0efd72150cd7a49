package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// Crashes within incidentWindow count as one incident: targets that are lost together take the common traits of their
	// requests with them.
	incidentWindow = 250 * time.Millisecond
	// lateReport is the difference between two clocks from which a report counts as late.
	lateReport = time.Second
)

// Board is an immutable record of all nodes' reports; the zero value is empty.
//
// Its load patterns: of hundreds of requests that share all parts of their prompts but one, some crash each target that begins to
// respond to them, and take the other requests of the target with them. The part that crashes targets has no complete response;
// the shared ones have many. Or one request crashes each target that runs it, and comes again at all nodes, milliseconds apart.
type Board struct {
	reports map[string]Report
	traits  map[Trait]evidence
	trials  Trials
}

// evidence is what the nodes' reports say of one trait.
type evidence struct {
	strikes []nodeStrike
	cleared []nodeClearance
}

// nodeStrike is a strike in the report of a node, with the time at which this node learned of the crash.
type nodeStrike struct {
	Strike
	node    string
	learned time.Time
}

// nodeClearance is a run whose crash a complete response speaks against, in the report of a node.
type nodeClearance struct {
	node string
	run  notice.Target
}

// With returns the board with the report of a node that was received at now, in place of its earlier one.
func (b Board) With(now time.Time, node string, r Report) Board {
	next := b.replacing(now, node, r)
	next.reports[node] = r
	return next
}

// Without returns the board without the report of a node.
func (b Board) Without(now time.Time, node string) Board {
	next := b.replacing(now, node, Report{})
	delete(next.reports, node)
	return next
}

// WithTrials returns the board with the trials that have been taken.
func (b Board) WithTrials(t Trials) Board {
	b.trials = t
	return b
}

// Report returns the report of a node.
func (b Board) Report(node string) Report { return b.reports[node] }

// Nodes lists the nodes that have reports, in order.
func (b Board) Nodes() []string { return slices.Sorted(maps.Keys(b.reports)) }

// replacing returns a copy of the board whose evidence has a report in place of the node's earlier one.
func (b Board) replacing(now time.Time, node string, r Report) Board {
	next := Board{reports: maps.Clone(b.reports), traits: maps.Clone(b.traits), trials: b.trials}
	if next.reports == nil {
		next.reports, next.traits = map[string]Report{}, map[Trait]evidence{}
	}
	before, after := b.reports[node].byTrait(), r.byTrait()
	for t := range before {
		if _, ok := after[t]; !ok {
			after[t] = traitReport{}
		}
	}
	for t, said := range after {
		e := b.traits[t].replacing(now, node, said)
		if len(e.strikes) == 0 && len(e.cleared) == 0 {
			delete(next.traits, t)
			continue
		}
		next.traits[t] = e
	}
	return next
}

// replacing returns the evidence with what a node says in place of what it said before.
func (e evidence) replacing(now time.Time, node string, said traitReport) evidence {
	var next evidence
	for _, s := range e.strikes {
		if s.node != node {
			next.strikes = append(next.strikes, s)
		}
	}
	for _, s := range said.strikes {
		learned := now
		for _, known := range e.strikes {
			if known.Run == s.Run {
				learned = earlier(learned, known.learned)
			}
		}
		next.strikes = append(next.strikes, nodeStrike{Strike: s, node: node, learned: learned})
	}
	for _, c := range e.cleared {
		if c.node != node {
			next.cleared = append(next.cleared, c)
		}
	}
	for _, run := range said.cleared {
		next.cleared = append(next.cleared, nodeClearance{node: node, run: run})
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// knownStrike is a crash that one or more nodes have reported, with the time at which this node learned of it.
type knownStrike struct {
	Strike
	learned time.Time
}

// happened returns when the crash happened by this node's clock: when the node learned of it, or, if that was late, when the
// other node saw it. Clocks may differ by less than lateReport.
func (s knownStrike) happened() time.Time {
	if s.learned.Sub(s.At).Abs() > lateReport {
		return s.At
	}
	return s.learned
}

// isCleared reports whether a complete response speaks against the crash of a run.
func (e evidence) isCleared(run notice.Target) bool {
	return slices.ContainsFunc(e.cleared, func(c nodeClearance) bool { return c.run == run })
}

// open returns the strikes that no complete response speaks against, one for each run, in the order in which they happened.
func (e evidence) open(now time.Time) []knownStrike {
	var list []knownStrike
	index := map[notice.Target]int{}
	for _, s := range e.strikes {
		if e.isCleared(s.Run) || isExpired(now, s.At) {
			continue
		}
		i, ok := index[s.Run]
		if !ok {
			index[s.Run] = len(list)
			list = append(list, knownStrike{Strike: s.Strike, learned: s.learned})
			continue
		}
		x := &list[i]
		x.Begun, x.Known = x.Begun || s.Begun, x.Known || s.Known
		x.At, x.learned = later(x.At, s.At), earlier(x.learned, s.learned)
	}
	slices.SortFunc(list, func(a, b knownStrike) int {
		return cmp.Or(a.happened().Compare(b.happened()), cmp.Compare(a.Run.ID, b.Run.ID), cmp.Compare(a.Run.StartedAt, b.Run.StartedAt))
	})
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

// Clearable lists the runs whose crashes a complete response for a trait speaks against, if the request was sent at sent: those
// that this node knew of before. A whole request that is answered at one target while others crash does not crash them, so its
// response speaks against all crashes. urgent is set if other nodes need to know.
func (b Board) Clearable(now, sent time.Time, t Trait) (runs []notice.Target, urgent bool) {
	e, ok := b.traits[t]
	if !ok {
		return nil, false
	}
	open := e.open(now)
	for _, s := range open {
		if t.Kind == Content || s.learned.Before(sent) {
			runs = append(runs, s.Run)
		}
	}
	stands := slices.ContainsFunc(b.reported(now), func(v Verdict) bool { return slices.Contains(v.Traits, t) })
	return runs, len(runs) > 0 && (stands || len(incidents(open)) >= suspectIncidents)
}

// hasReported reports whether a node's report has a verdict that matches.
func (b Board) hasReported(matches func(Verdict) bool) bool {
	for _, r := range b.reports {
		if slices.ContainsFunc(r.Verdicts, matches) {
			return true
		}
	}
	return false
}

// isReportedByOthers reports whether the report of another node than self counts crashes against a trait, or has a verdict on it.
func (b Board) isReportedByOthers(self string, t Trait) bool {
	if slices.ContainsFunc(b.traits[t].strikes, func(s nodeStrike) bool { return s.node != self }) {
		return true
	}
	return b.hasReported(func(v Verdict) bool { return slices.Contains(v.Traits, t) })
}
