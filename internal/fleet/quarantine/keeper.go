package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// maxKnown bounds each of the two generations of parts that the keeper remembers complete responses for.
	maxKnown = 4096
	// confirmInterval is the least time between two confirmations of a quarantine by requests that are still rejected for
	// it; it is a part of the retention.
	confirmInterval = retention / 4
	// maxStruckParts bounds the parts of one request that are struck by a crash.
	maxStruckParts = 16
)

// Urgency says how soon a change of a node's own report has to reach the other nodes.
type Urgency string

// The urgencies.
const (
	// Immediate changes are strikes and verdicts.
	Immediate Urgency = "immediate"
	// Deferred changes are clearances, which many nodes may find at the same time.
	Deferred Urgency = "deferred"
)

// Change is a verdict that is new or no longer stands.
type Change struct {
	Verdict
	Lifted bool
}

// view is a board with the verdicts that stand until a time.
type view struct {
	board    Board
	verdicts []Verdict
	until    time.Time
}

// maxViewAge bounds how long verdicts are kept that expire without new evidence.
const maxViewAge = time.Minute

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// Node is the name of this node.
	Node string
	// OnReport is called after the node's own report has changed.
	OnReport func(Urgency)
	// OnEvidence is called after any report has changed.
	OnEvidence func()
}

// Keeper holds the current board of a node, safe for concurrent use.
type Keeper struct {
	cfg  KeeperConfig
	view atomic.Pointer[view]

	// mu serialises changes.
	mu sync.Mutex
	// known and formerlyKnown are the parts with complete responses, in two generations.
	known, formerlyKnown map[Part]bool
	// announced are the verdicts that Review has returned.
	announced []Verdict
}

// NewKeeper returns a keeper with an empty board.
func NewKeeper(cfg KeeperConfig) *Keeper {
	k := &Keeper{cfg: cfg, known: map[Part]bool{}, formerlyKnown: map[Part]bool{}}
	k.view.Store(&view{})
	return k
}

// Board returns the current board.
func (k *Keeper) Board() Board { return k.view.Load().board }

// Verdicts returns the verdicts that stand at now.
func (k *Keeper) Verdicts(now time.Time) []Verdict {
	v := k.view.Load()
	if len(v.board.reports) > 0 && !now.Before(v.until) {
		fresh := newView(now, v.board)
		// A concurrent change has a newer board, which stays.
		k.view.CompareAndSwap(v, fresh)
		v = fresh
	}
	return v.verdicts
}

func newView(now time.Time, b Board) *view {
	list, next := b.Verdicts(now)
	until := now.Add(maxViewAge)
	if !next.IsZero() && next.Before(until) {
		until = next
	}
	return &view{board: b, verdicts: list, until: until}
}

// Own returns the node's own report without what has expired.
func (k *Keeper) Own(now time.Time) Report { return k.Board().Report(k.cfg.Node).Pruned(now) }

// Check returns the verdict that applies to a request with these parts, if there is one. Such a request confirms the verdict.
func (k *Keeper) Check(now time.Time, parts []Part) (Verdict, bool) {
	for _, v := range k.Verdicts(now) {
		if !v.Applies(parts) {
			continue
		}
		if now.Sub(v.At) > confirmInterval {
			v.At = now
			k.change(now, Immediate, func(r Report) Report { return r.WithVerdict(v) })
		}
		return v, true
	}
	return Verdict{}, false
}

// IsSuspect reports whether a broken request with these parts is not sent again.
func (k *Keeper) IsSuspect(now time.Time, parts []Part) bool {
	b := k.Board()
	return slices.ContainsFunc(parts, func(p Part) bool { return b.IsSuspect(now, p) })
}

// RecordCrash records that a run of a target crashed while it ran a request with these parts; begun is set if it had begun its
// response and not yet sent anything complete.
func (k *Keeper) RecordCrash(now time.Time, run notice.Target, parts []Part, begun bool) {
	k.change(now, Immediate, func(r Report) Report {
		for _, p := range k.mostDoubtful(parts) {
			r = r.WithStrike(Strike{Part: p, Run: run, At: now, Begun: begun, Known: k.isKnown(p)})
		}
		return r
	})
}

// mostDoubtful returns at most maxStruckParts of a request's parts; those that were never answered here come first.
func (k *Keeper) mostDoubtful(parts []Part) []Part {
	if len(parts) <= maxStruckParts {
		return parts
	}
	list := slices.Clone(parts)
	slices.SortStableFunc(list, func(a, b Part) int {
		switch aKnown := k.isKnown(a); {
		case aKnown == k.isKnown(b):
			return 0
		case aKnown:
			return 1
		default:
			return -1
		}
	})
	return list[:maxStruckParts]
}

// RecordPlannedStop records that a run of a target has ended, or is about to, by plan: what it broke off is no crash.
func (k *Keeper) RecordPlannedStop(now time.Time, run notice.Target) {
	isStruck := func(s Strike) bool { return s.Run == run }
	if slices.ContainsFunc(k.Board().Report(k.cfg.Node).Strikes, isStruck) {
		k.change(now, Immediate, func(r Report) Report { return r.WithoutRun(run) })
	}
}

// RecordComplete records that a request with these parts, sent at sent, was answered completely.
func (k *Keeper) RecordComplete(now, sent time.Time, parts []Part) {
	k.remember(parts)
	b := k.Board()
	var cleared []Clearance
	urgent := false
	for _, p := range parts {
		runs, isUrgent := b.Clearable(now, sent, p)
		if len(runs) > 0 {
			cleared = append(cleared, Clearance{Part: p, Runs: runs, At: now})
		}
		urgent = urgent || isUrgent
	}
	if len(cleared) == 0 {
		return
	}
	urgency := Urgency("")
	if urgent {
		urgency = Deferred
	}
	k.change(now, urgency, func(r Report) Report {
		for _, c := range cleared {
			r = r.WithClearance(c)
		}
		return r
	})
}

// AreKnown reports whether this node has passed on a complete response for each of the parts.
func (k *Keeper) AreKnown(parts []Part) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !slices.ContainsFunc(parts, func(p Part) bool { return !k.isKnown(p) })
}

func (k *Keeper) isKnown(p Part) bool { return k.known[p] || k.formerlyKnown[p] }

func (k *Keeper) remember(parts []Part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range parts {
		if k.known[p] {
			continue
		}
		if len(k.known) >= maxKnown {
			k.known, k.formerlyKnown = make(map[Part]bool, maxKnown), k.known
		}
		k.known[p] = true
	}
}

// change replaces the node's own report and calls OnReport if the urgency is not empty.
func (k *Keeper) change(now time.Time, urgency Urgency, update func(Report) Report) {
	k.mu.Lock()
	b := k.Board().With(now, k.cfg.Node, update(k.Board().Report(k.cfg.Node).Pruned(now)))
	k.view.Store(newView(now, b))
	k.mu.Unlock()
	if urgency != "" {
		k.cfg.OnReport(urgency)
	}
	k.cfg.OnEvidence()
}

// Merge replaces the report of another node, or joins an earlier report of this node with its current one.
func (k *Keeper) Merge(now time.Time, node string, r Report) {
	k.mu.Lock()
	if node == k.cfg.Node {
		r = k.Board().Report(node).WithReport(r)
	}
	b := k.Board().With(now, node, r.Pruned(now))
	k.view.Store(newView(now, b))
	k.mu.Unlock()
	k.cfg.OnEvidence()
}

// Remove drops the report of a node.
func (k *Keeper) Remove(now time.Time, node string) {
	k.mu.Lock()
	b := k.Board().Without(now, node)
	k.view.Store(newView(now, b))
	k.mu.Unlock()
	k.cfg.OnEvidence()
}

// HasNews reports whether the node's own report says anything that the others' do not.
func (k *Keeper) HasNews(now time.Time) bool {
	b := k.Board()
	own := b.Report(k.cfg.Node)
	others := b.Without(now, k.cfg.Node)
	for _, s := range own.Strikes {
		if _, ok := others.parts[s.Part].strikes[s.Run]; !ok {
			return true
		}
	}
	for _, v := range own.Verdicts {
		isKnown := func(x Verdict) bool { return slices.Equal(x.Parts, v.Parts) && v.At.Sub(x.At) <= confirmInterval }
		if !slices.ContainsFunc(others.verdicts, isKnown) {
			return true
		}
	}
	for _, c := range own.Clearances {
		cleared := others.parts[c.Part].cleared
		if slices.ContainsFunc(c.Runs, func(run notice.Target) bool { return !cleared[run] }) {
			return true
		}
	}
	return false
}

// Review returns the verdicts that are new or no longer stand since the last call, and when the next one is due, the zero time
// if none is. A node that has seen one of the crashes puts the verdict in its report, so that nodes which start later know it.
func (k *Keeper) Review(now time.Time) (changes []Change, next time.Time) {
	b := k.Board()
	list, next := b.Verdicts(now)
	k.mu.Lock()
	isIn := func(verdicts []Verdict, v Verdict) bool {
		return slices.ContainsFunc(verdicts, func(x Verdict) bool { return slices.Equal(x.Parts, v.Parts) })
	}
	var own []Verdict
	for _, v := range list {
		if isIn(k.announced, v) {
			continue
		}
		changes = append(changes, Change{Verdict: v})
		sawCrash := func(s Strike) bool { return slices.Contains(v.Parts, s.Part) }
		if !isIn(b.verdicts, v) && slices.ContainsFunc(b.Report(k.cfg.Node).Strikes, sawCrash) {
			own = append(own, v)
		}
	}
	for _, v := range k.announced {
		if !isIn(list, v) {
			changes = append(changes, Change{Verdict: v, Lifted: true})
		}
	}
	k.announced = list
	k.mu.Unlock()
	if len(own) > 0 {
		k.change(now, Immediate, func(r Report) Report {
			for _, v := range own {
				r = r.WithVerdict(v)
			}
			return r
		})
	}
	return changes, next
}
