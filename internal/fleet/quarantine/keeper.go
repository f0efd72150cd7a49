package quarantine

import (
	"bytes"
	"crypto/rand"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// keyBytes is the length of a key.
	keyBytes = 32
	// settleTime is how long a verdict on a request stands before it is put in the node's report: reports that are still on their way
	// may explain the crashes by another request.
	settleTime = time.Second
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

// view is a board with the verdicts that stand until a time, also by their first trait.
type view struct {
	board    Board
	verdicts []Verdict
	byTrait  map[Trait][]Verdict
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
	// key is the secret that requests are named with, digests what the traits in the node's own report stand for.
	key     atomic.Pointer[[]byte]
	digests map[Trait]digest
	// parts and requests are those with complete responses; seed hashes the requests.
	parts    memory[Trait]
	requests memory[uint64]
	seed     maphash.Seed
	// announced are the verdicts that Review has returned, since is when it first did.
	announced []Verdict
	since     map[Trait]time.Time
}

// NewKeeper returns a keeper with an empty board.
func NewKeeper(cfg KeeperConfig) *Keeper {
	key := make([]byte, keyBytes)
	// crypto/rand never returns an error.
	_, _ = rand.Read(key)
	k := &Keeper{cfg: cfg, digests: map[Trait]digest{}, seed: maphash.MakeSeed(), since: map[Trait]time.Time{}}
	k.key.Store(&key)
	k.view.Store(&view{})
	return k
}

// Board returns the current board.
func (k *Keeper) Board() Board { return k.view.Load().board }

// Verdicts returns the verdicts that stand at now.
func (k *Keeper) Verdicts(now time.Time) []Verdict { return k.current(now).verdicts }

// current returns the board with the verdicts that stand at now.
func (k *Keeper) current(now time.Time) *view {
	v := k.view.Load()
	if len(v.board.reports) > 0 && !now.Before(v.until) {
		fresh := newView(now, v.board)
		// A concurrent change has a newer board, which stays.
		k.view.CompareAndSwap(v, fresh)
		v = fresh
	}
	return v
}

func newView(now time.Time, b Board) *view {
	list, next := b.Verdicts(now)
	until := now.Add(maxViewAge)
	if !next.IsZero() && next.Before(until) {
		until = next
	}
	v := &view{board: b, verdicts: list, byTrait: make(map[Trait][]Verdict, len(list)), until: until}
	for _, x := range list {
		v.byTrait[x.Traits[0]] = append(v.byTrait[x.Traits[0]], x)
	}
	return v
}

// Own returns the node's own report without what has expired.
func (k *Keeper) Own(now time.Time) Report { return k.Board().Report(k.cfg.Node).Pruned(now) }

// Key returns the secret that requests are named with: the node's own until the fleet has one.
func (k *Keeper) Key() []byte { return *k.key.Load() }

// SetKey replaces the key, and names the requests in the node's own report anew.
func (k *Keeper) SetKey(now time.Time, key []byte) {
	if bytes.Equal(key, k.Key()) {
		return
	}
	k.key.Store(&key)
	k.change(now, Immediate, func(r Report) Report {
		named := map[Trait]Trait{}
		digests := map[Trait]digest{}
		for t, d := range k.digests {
			named[t] = d.contentTrait(t.Service, key)
			digests[named[t]] = d
		}
		k.digests = digests
		return r.renamed(named)
	})
}

// Trait returns the trait of a request as a whole.
func (k *Keeper) Trait(r Request) Trait { return r.digest().contentTrait(r.Service, k.Key()) }

// Name returns what a request is called in reports and logs.
func (k *Keeper) Name(r Request) string { return k.Trait(r).ID }

// Decide returns the decision on a request. One that is rejected confirms the verdict.
func (k *Keeper) Decide(now time.Time, r Request) Decision {
	v := k.current(now)
	if len(v.board.traits) == 0 && len(v.verdicts) == 0 {
		return Send{}
	}
	d := v.decide(now, k.traits(r))
	if reject, ok := d.(Reject); ok && now.Sub(reject.Verdict.At) > confirmInterval {
		verdict := reject.Verdict
		verdict.At = now
		k.change(now, Immediate, func(r Report) Report { return r.WithVerdict(verdict) })
	}
	return d
}

// traits returns all traits of a request: the parts of its prompt, then its content.
func (k *Keeper) traits(r Request) []Trait {
	return append(r.partTraits(), k.Trait(r))
}

// IsSuspect reports whether a broken request is not sent again because of the parts of its prompt.
func (k *Keeper) IsSuspect(now time.Time, r Request) bool {
	b := k.Board()
	return slices.ContainsFunc(r.partTraits(), func(t Trait) bool { return b.IsSuspect(now, t) })
}

// RecordCrash records that a run of a target crashed while it ran a request; begun is set if it had begun its response and not yet
// sent anything complete.
func (k *Keeper) RecordCrash(now time.Time, run notice.Target, r Request, begun bool) {
	k.RecordCrashes(now, run, []Request{r}, begun)
}

// RecordCrashes is RecordCrash for all requests that a target ran together. Until the last of them was recorded, one that was beside
// another each time would look like the only suspect.
func (k *Keeper) RecordCrashes(now time.Time, run notice.Target, list []Request, begun bool) {
	k.change(now, Immediate, func(report Report) Report {
		for _, r := range list {
			for _, t := range k.mostDoubtful(r.partTraits()) {
				report = report.WithStrike(Strike{Trait: t, Run: run, At: now, Begun: begun, Known: k.parts.has(t)})
			}
			d := r.digest()
			content := d.contentTrait(r.Service, k.Key())
			k.digests[content] = d
			report = report.WithStrike(Strike{Trait: content, Run: run, At: now, Begun: begun, Known: k.requests.hasAt(now, r.hash(k.seed))})
		}
		return report
	})
}

// mostDoubtful returns at most maxStruckParts of a request's parts; those that were never answered here come first.
func (k *Keeper) mostDoubtful(parts []Trait) []Trait {
	if len(parts) <= maxStruckParts {
		return parts
	}
	slices.SortStableFunc(parts, func(a, b Trait) int {
		switch aKnown := k.parts.has(a); {
		case aKnown == k.parts.has(b):
			return 0
		case aKnown:
			return 1
		default:
			return -1
		}
	})
	return parts[:maxStruckParts]
}

// RecordPlannedStop records that a run of a target has ended, or is about to, by plan: what it broke off is no crash.
func (k *Keeper) RecordPlannedStop(now time.Time, run notice.Target) {
	isStruck := func(s Strike) bool { return s.Run == run }
	if slices.ContainsFunc(k.Board().Report(k.cfg.Node).Strikes, isStruck) {
		k.change(now, Immediate, func(r Report) Report { return r.WithoutRun(run) })
	}
}

// RecordComplete records that a request, sent at sent, was answered completely.
func (k *Keeper) RecordComplete(now, sent time.Time, r Request) {
	k.remember(r)
	b := k.Board()
	if len(b.traits) == 0 {
		return
	}
	var cleared []Clearance
	urgent := false
	for _, t := range k.traits(r) {
		runs, isUrgent := b.Clearable(now, sent, t)
		if len(runs) > 0 {
			cleared = append(cleared, Clearance{Trait: t, Runs: runs, At: now})
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
			if c.Trait.Kind == Content {
				r = r.WithoutStrikes(c.Trait, c.Runs)
			}
			if c.Trait.Kind != Content || b.isReportedByOthers(k.cfg.Node, c.Trait) {
				r = r.WithClearance(c)
			}
		}
		return r
	})
}

// AreKnown reports whether this node has passed on a complete response for each part of a request's prompt.
func (k *Keeper) AreKnown(r Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !slices.ContainsFunc(r.partTraits(), func(t Trait) bool { return !k.parts.has(t) })
}

func (k *Keeper) remember(r Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range r.partTraits() {
		k.parts.add(t)
	}
	k.requests.add(r.hash(k.seed))
}

// SetTrials takes in the trials that the fleet has taken.
func (k *Keeper) SetTrials(now time.Time, t Trials) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.Store(newView(now, k.Board().WithTrials(t)))
}

// Trials returns the trials that the fleet has taken, as far as this node knows.
func (k *Keeper) Trials() Trials { return k.Board().trials }

// change replaces the node's own report and calls OnReport if the urgency is not empty.
func (k *Keeper) change(now time.Time, urgency Urgency, update func(Report) Report) {
	k.mu.Lock()
	before := k.Board()
	report := update(before.Report(k.cfg.Node).Pruned(now)).Bounded(func(t Trait) int { return len(before.traits[t].strikes) })
	k.view.Store(newView(now, before.With(now, k.cfg.Node, report)))
	k.forgetDigests(report)
	k.mu.Unlock()
	if urgency != "" {
		k.cfg.OnReport(urgency)
	}
	k.cfg.OnEvidence()
}

// forgetDigests drops the digests of requests that the node's own report no longer names, once there are many.
func (k *Keeper) forgetDigests(own Report) {
	if len(k.digests) <= 2*maxRequestStrikes {
		return
	}
	kept := map[Trait]digest{}
	for _, s := range own.Strikes {
		if d, ok := k.digests[s.Trait]; ok {
			kept[s.Trait] = d
		}
	}
	k.digests = kept
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
		if !slices.ContainsFunc(others.traits[s.Trait].strikes, func(x nodeStrike) bool { return x.Run == s.Run }) {
			return true
		}
	}
	for _, v := range own.Verdicts {
		isKnown := func(x Verdict) bool { return slices.Equal(x.Traits, v.Traits) && v.At.Sub(x.At) <= confirmInterval }
		if !others.hasReported(isKnown) {
			return true
		}
	}
	for _, c := range own.Clearances {
		e := others.traits[c.Trait]
		if slices.ContainsFunc(c.Runs, func(run notice.Target) bool { return !e.isCleared(run) }) {
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
	var own []Verdict
	for _, v := range list {
		isSame := func(x Verdict) bool { return slices.Equal(x.Traits, v.Traits) }
		if !slices.ContainsFunc(k.announced, isSame) {
			changes = append(changes, Change{Verdict: v})
			k.since[v.Traits[0]] = now
		}
		if b.hasReported(isSame) || !slices.ContainsFunc(b.Report(k.cfg.Node).Strikes, func(s Strike) bool { return slices.Contains(v.Traits, s.Trait) }) {
			continue
		}
		if due := k.since[v.Traits[0]].Add(settleTime); v.Traits[0].Kind == Content && now.Before(due) {
			if next.IsZero() || due.Before(next) {
				next = due
			}
			continue
		}
		own = append(own, v)
	}
	for _, v := range k.announced {
		if !slices.ContainsFunc(list, func(x Verdict) bool { return slices.Equal(x.Traits, v.Traits) }) {
			changes = append(changes, Change{Verdict: v, Lifted: true})
			delete(k.since, v.Traits[0])
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
