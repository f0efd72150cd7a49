package ratelimit

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// The platform counts over countWindow, from contactTime after the first naming of a limit, the requests of nodes that have
	// been told for toldTime; a node that was restarted, frozen or cut off counts again contactTime later.
	countWindow = 4 * time.Second
	contactTime = 3 * time.Second
	toldTime    = 500 * time.Millisecond
	// modelLength is the length of a run; modelTimeout is when a node gives up on a keeper that does not answer. It asks one that
	// was late once again after modelLateBackoff, and others after modelBackoff.
	modelLength      = 20 * time.Second
	modelTimeout     = 150 * time.Millisecond
	modelLateBackoff = 500 * time.Millisecond
	modelBackoff     = 2 * time.Second
)

var (
	modelStart  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	modelPool   = Pool{Service: "svc", Datacentre: "a"}
	modelTarget = notice.Target{ID: "i-1", StartedAt: 1}
)

// modelNode is one node: its list of nodes, its part as a keeper and what it knows of the others.
type modelNode struct {
	name      string
	startedAt time.Time
	list      *registry.Registry
	listAt    time.Time
	ranks     Ranking
	// listVersion is the version of list.
	listVersion int
	board       notice.Board
	tenure      Tenure
	desk        *Desk
	hints       Hints
	lost        map[string]bool
	backoff     map[string]time.Time
	// isUp and isCut say whether it runs and reaches other nodes; a frozen node acts on nothing before frozenUntil.
	isUp        bool
	isCut       bool
	frozenUntil time.Time
	// incarnation rises with each start; toldAt is when it first passed on an answer with a limit since the target names one.
	incarnation int
	toldAt      time.Time
	// excusedUntil is until when its sends do not count, excusedFrom since when.
	excusedFrom  time.Time
	excusedUntil time.Time
	waiting      map[string]func(Decision)
	timer        int
}

type arrival struct {
	at   time.Time
	node *modelNode
	told bool
}

// event is something that happens at a time; those of a node that has been restarted since are dropped.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// limitChange is the limit that a target names from a time on, 0 for none.
type limitChange struct {
	at        time.Duration
	perSecond float64
}

// modelFleet is a fleet that sends to one target with a limit, in virtual time.
type modelFleet struct {
	now      time.Time
	queue    events
	order    int
	version  int
	nodes    []*modelNode
	limits   []limitChange
	delay    func() time.Duration
	listLag  func() time.Duration
	arrivals []arrival
	claims   int
	rejected int
	// elsewhere is set if requests go to a target without a limit unless they are granted a send at once.
	elsewhere bool
}

func newModelFleet(size int, limits []limitChange, delay, listLag func() time.Duration) *modelFleet {
	f := &modelFleet{now: modelStart, limits: limits, delay: delay, listLag: listLag}
	for i := range size {
		n := &modelNode{name: fmt.Sprintf("n-%02d", i)}
		f.nodes = append(f.nodes, n)
		f.reset(n)
	}
	members := f.members()
	for _, n := range f.nodes {
		n.list, n.listAt, n.startedAt = members, modelStart.Add(-time.Minute), modelStart.Add(-time.Minute)
	}
	return f
}

// members returns the registry of the nodes that run.
func (f *modelFleet) members() *registry.Registry {
	var list []registry.Node
	for _, n := range f.nodes {
		if n.isUp {
			list = append(list, registry.Node{Name: n.name, Datacentre: "a"})
		}
	}
	return registry.New().WithNodes(list)
}

// after runs an event of a node, once it is not frozen and unless it has been restarted meanwhile.
func (f *modelFleet) after(d time.Duration, n *modelNode, run func()) {
	incarnation := n.incarnation
	f.at(f.now.Add(d), func() {
		switch {
		case !n.isUp || n.incarnation != incarnation:
		case f.now.Before(n.frozenUntil):
			f.after(n.frozenUntil.Sub(f.now), n, run)
		default:
			run()
		}
	})
}

func (f *modelFleet) at(at time.Time, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: at, order: f.order, run: run})
}

func (f *modelFleet) run(until time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

func (f *modelFleet) start(n *modelNode) {
	f.reset(n)
	f.excuse(n, contactTime)
	f.publishMembers()
}

// reset gives a node the state of a process that starts.
func (f *modelFleet) reset(n *modelNode) {
	n.isUp, n.incarnation, n.startedAt = true, n.incarnation+1, f.now
	n.board, n.tenure, n.desk, n.hints = notice.Board{}, Tenure{}, nil, Hints{}
	n.lost, n.backoff, n.waiting, n.toldAt = map[string]bool{}, map[string]time.Time{}, map[string]func(Decision){}, time.Time{}
	n.list, n.listAt = registry.New(), f.now
}

func (f *modelFleet) stop(n *modelNode, isPlanned bool) {
	n.isUp = false
	f.excuse(n, contactTime)
	if isPlanned {
		f.publishMembers()
	}
}

func (f *modelFleet) excuse(n *modelNode, d time.Duration) {
	if f.now.After(n.excusedUntil) {
		n.excusedFrom = f.now
	}
	n.excusedUntil = f.now.Add(d)
}

// publishMembers gives every node the new list after a time of its own.
func (f *modelFleet) publishMembers() {
	members := f.members()
	f.version++
	version := f.version
	for _, n := range f.nodes {
		f.after(f.listLag(), n, func() {
			if version < n.listVersion {
				return
			}
			n.listVersion = version
			if !slices.Equal(n.list.NodeNames(), members.NodeNames()) {
				n.listAt = f.now
			}
			n.list = members
			f.settle(n)
		})
	}
}

func (f *modelFleet) node(name string) *modelNode {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func reaches(a, b *modelNode) bool { return a == b || b.isUp && !a.isCut && !b.isCut }

// limitAt returns the limit that the target names at a time, and whether it has named one by contactTime before.
func (f *modelFleet) limitAt(at time.Time) (perSecond float64) {
	perSecond = math.Inf(1)
	for _, c := range f.limits {
		if !modelStart.Add(c.at).After(at) {
			perSecond = c.perSecond
			if c.perSecond == 0 {
				perSecond = math.Inf(1)
			}
		}
	}
	return perSecond
}

// request is one request at a node: it waits for patience if the target is limited.
func (f *modelFleet) request(n *modelNode, patience time.Duration) {
	if !n.board.Limit(f.now, modelTarget).IsSet() {
		f.send(n)
		return
	}
	f.claims++
	c := Claim{ID: fmt.Sprint(f.claims), Targets: []notice.Target{modelTarget}, Worth: 1, StartBy: f.now.Add(patience), ReturnBy: f.now.Add(patience)}
	if f.elsewhere {
		c.ID, c.StartBy, c.ReturnBy = n.name+"/poll", f.now, time.Time{}
	}
	if f.elsewhere && !n.hints.Begin(modelTarget) {
		f.rejected++
		return
	}
	f.ask(n, c, nil)
}

// ask puts a claim to the keepers one after the other.
func (f *modelFleet) ask(n *modelNode, c Claim, asked []string) {
	keepers := Keepers(n.ranks.Rank(modelPool, n.list), func(name string) bool {
		return name != n.name && f.now.Before(n.backoff[name]) || slices.Contains(asked, name)
	})
	keeper, at, ok := n.hints.Earliest(f.now, c.Targets, keepers, c.Rank())
	if !ok || len(asked) == keeperCount || at.After(f.now) && at.After(c.StartBy) && (len(asked) > 0 || c.ReturnBy.IsZero()) {
		f.rejected++
		n.hints.End(modelTarget)
		return
	}
	asked = append(slices.Clone(asked), keeper)
	k := f.node(keeper)
	answered := false
	f.after(max(0, c.StartBy.Sub(f.now))+modelTimeout, n, func() {
		if !answered {
			answered = true
			backoff := modelBackoff
			if !n.lost[keeper] {
				backoff = modelLateBackoff
			}
			n.lost[keeper], n.backoff[keeper] = true, f.now.Add(backoff)
			f.ask(n, c, asked)
		}
	})
	if !reaches(n, k) {
		return
	}
	known, isKnown := n.board.LimitReport(f.now, modelTarget)
	f.after(f.delay(), k, func() {
		if isKnown {
			f.learn(k, known, false)
		}
		f.decide(k, c, func(d Decision) {
			report, isKnown := k.board.LimitReport(f.now, modelTarget)
			if !reaches(k, n) {
				return
			}
			f.after(f.delay(), n, func() {
				if answered {
					return
				}
				answered = true
				delete(n.lost, keeper)
				if isKnown {
					f.learn(n, report, false)
				}
				f.receive(n, c, asked, keeper, d)
			})
		})
	})
}

// receive acts on the decision of a keeper; nil means that the node is none.
func (f *modelFleet) receive(n *modelNode, c Claim, asked []string, keeper string, d Decision) {
	switch d := d.(type) {
	case Granted, Lifted:
		n.hints.End(modelTarget)
		f.send(n)
	case Rejected:
		n.hints.Set(f.now, modelTarget, keeper, c.Rank(), f.now.Add(d.RetryAfter))
		f.ask(n, c, asked)
	default:
		n.hints.Set(f.now, modelTarget, keeper, AnyRank, f.now.Add(300*time.Millisecond))
		f.ask(n, c, asked)
	}
}

// decide is a keeper's part of a claim.
func (f *modelFleet) decide(k *modelNode, c Claim, reply func(Decision)) {
	if !f.isActing(k) {
		f.check(k)
		reply(nil)
		return
	}
	k.waiting[c.ID] = reply
	k.desk.Add(c)
	f.settle(k)
}

func (f *modelFleet) view(k *modelNode) View {
	return View{Self: k.name, Ranked: k.ranks.Rank(modelPool, k.list), IsLost: func(name string) bool { return k.lost[name] }, StartedAt: k.startedAt, ChangedAt: k.listAt}
}

func (f *modelFleet) isActing(k *modelNode) bool {
	was := k.tenure.IsActing()
	var keepers []string
	k.tenure, keepers = k.tenure.With(f.now, f.view(k))
	switch is := k.tenure.IsActing(); {
	case is && !was:
		k.desk = NewDesk(slices.Index(keepers, k.name))
	case !is && was:
		k.desk = nil
		for id, reply := range k.waiting {
			delete(k.waiting, id)
			reply(nil)
		}
	}
	return k.tenure.IsActing()
}

// check asks the nodes that rank before a keeper whether they answer.
func (f *modelFleet) check(k *modelNode) {
	names := f.view(k).Ahead()
	for name := range k.lost {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		other := f.node(name)
		isBack := reaches(k, other) && !f.now.Before(other.frozenUntil)
		f.after(2*f.delay(), k, func() {
			if isBack {
				delete(k.lost, name)
			} else {
				k.lost[name] = true
			}
		})
	}
}

func (f *modelFleet) rate(k *modelNode) func(notice.Target) float64 {
	return func(t notice.Target) float64 {
		return KeeperRate(k.board.Limit(f.now, t).PerSecond, len(k.list.NodeNames()))
	}
}

func (f *modelFleet) settle(k *modelNode) {
	if !f.isActing(k) || k.desk.Len() == 0 {
		return
	}
	settled, next := k.desk.Settle(f.now, f.rate(k))
	for _, s := range settled {
		if reply, ok := k.waiting[s.ID]; ok {
			delete(k.waiting, s.ID)
			reply(s.Decision)
		}
	}
	if !next.IsZero() {
		k.timer++
		timer := k.timer
		f.after(next.Sub(f.now), k, func() {
			if timer == k.timer {
				f.settle(k)
			}
		})
	}
}

// send sends a request to the target, which answers with its limit.
func (f *modelFleet) send(n *modelNode) {
	sentAt, incarnation := f.now, n.incarnation
	f.at(f.now.Add(f.delay()), func() {
		limit := f.limitAt(f.now)
		isTold := !n.toldAt.Before(f.countedFrom(f.now).Add(-contactTime)) && !f.now.Before(n.toldAt.Add(toldTime)) && n.incarnation == incarnation
		f.arrivals = append(f.arrivals, arrival{at: f.now, node: n, told: isTold && !f.isExcused(n)})
		f.after(f.delay()*4, n, func() {
			if n.incarnation != incarnation {
				return
			}
			if named := f.countedFrom(f.now).Add(-contactTime); !math.IsInf(limit, 1) && n.toldAt.Before(named) {
				n.toldAt = f.now
			}
			f.learn(n, notice.LimitReport{Target: modelTarget, Limit: notice.Limit{PerSecond: limit}, SentAt: sentAt, HeardAt: f.now}, true)
		})
	})
}

func (f *modelFleet) isExcused(n *modelNode) bool {
	return n.isCut || f.now.Before(n.frozenUntil) || f.now.Before(n.excusedUntil)
}

// learn records a report; one that the target itself has changed goes on to the keepers.
func (f *modelFleet) learn(n *modelNode, r notice.LimitReport, fromTarget bool) {
	if !fromTarget {
		r.SentAt = r.SentAt.Add(-300 * time.Millisecond)
	}
	var changed bool
	if n.board, changed = n.board.WithLimit(f.now, r); !changed {
		return
	}
	n.hints.Drop(modelTarget)
	if f.isActing(n) {
		n.desk.Prepare(f.now, modelTarget, f.rate(n)(modelTarget))
	}
	f.settle(n)
	if !fromTarget {
		return
	}
	for _, name := range Keepers(n.ranks.Rank(modelPool, n.list), func(string) bool { return false }) {
		if k := f.node(name); k != n && reaches(n, k) {
			f.after(20*time.Millisecond+f.delay(), k, func() { f.learn(k, r, false) })
		}
	}
}

// worstWindow returns the window in which counted requests exceed one and a half times the allowed ones and five by most.
func (f *modelFleet) worstWindow() (excess float64, text string) {
	var times []time.Time
	for _, a := range f.arrivals {
		if a.told {
			times = append(times, a.at)
		}
	}
	excess = math.Inf(-1)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= countWindow {
			first++
		}
		from := at.Add(-countWindow)
		if from.Before(f.countedFrom(at)) {
			from = f.countedFrom(at)
		}
		for times[first].Before(from) && first < last {
			first++
		}
		limit := 1.5*f.allowed(at.Add(-countWindow), at) + 5
		if over := float64(last-first+1) - limit; over > excess {
			excess = over
			text = fmt.Sprintf("%d requests until %s, allowed %.1f", last-first+1, at.Sub(modelStart), limit)
		}
	}
	return excess, text
}
