package rollout

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// judgeInterval bounds how often a node's own responses are judged.
	judgeInterval = 200 * time.Millisecond
	// sumInterval bounds how often the evidence of a rollout is added up: each second time that the follower decides.
	sumInterval = 150 * time.Millisecond
)

// mark is a sum as it was at a time.
type mark struct {
	at  time.Time
	sum Sum
}

// marks are the sums of the latest CompareWindow, oldest first.
type marks struct{ list []mark }

// earlier returns the sum of about CompareWindow ago, after adding the present one.
func (m *marks) earlier(now time.Time, s Sum) Sum {
	m.list = append(m.list, mark{now, s})
	for len(m.list) > 1 && now.Sub(m.list[1].at) >= CompareWindow {
		m.list = m.list[1:]
	}
	return m.list[0].sum
}

func (m *marks) isDue(now time.Time) bool {
	return len(m.list) == 0 || now.Sub(m.list[len(m.list)-1].at) >= judgeInterval
}

// Reply is what a node that collects the evidence answers to a report.
type Reply struct {
	// IsKnown is set if the node knows the order too and has fresh reports of most nodes.
	IsKnown bool
	Elapsed time.Duration
	// Bad is the node's verdict, nil if there is none.
	Bad *Bad
}

// Rollouts lists the rollouts without a final state.
func (k *Keeper) Rollouts() []Progress {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Progress
	for _, t := range k.rollouts {
		if !t.progress.State.IsFinal() {
			list = append(list, t.progress)
		}
	}
	return list
}

// Step returns the step of the rollout of a service at now, "" if there is none.
func (k *Keeper) Step(now time.Time, service string) Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.rollouts[service]; t != nil {
		return t.progress.Step(now)
	}
	return ""
}

// Report returns this node's report on the rollout of a service at now, and whether a response has failed at the new version since the
// last one.
func (k *Keeper) Report(now time.Time, service string) (r Report, isUrgent, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.rollouts[service]
	if t == nil {
		return Report{}, false, false
	}
	t.resume(now)
	return k.report(now, t), t.hasNews, true
}

func (k *Keeper) report(now time.Time, t *tracked) Report {
	return Report{
		Node: k.cfg.Self, StartedAt: k.cfg.StartedAt, Order: t.progress.Order, Elapsed: now.Sub(t.progress.Began),
		IsShifted: t.progress.Step(now) == Shifted, OldRunning: k.oldRunning(t.progress.Order), Sum: t.own,
	}
}

// Sent records that the reports of this node have been sent.
func (k *Keeper) Sent(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.rollouts[service]; t != nil {
		t.hasNews = false
	}
}

// Receive takes in a node's report that arrives at now; nodes are all nodes.
func (k *Keeper) Receive(now time.Time, r Report, nodes []string) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.rollouts[r.Order.Service]
	if t == nil || !t.progress.Order.Is(r.Order) {
		return Reply{}
	}
	t.arrived = append(t.arrived, heardReport{r, now})
	t.progress = t.progress.WithElapsed(now, r.Elapsed)
	if now.Sub(t.takenAt) >= takeInterval || len(t.arrived) >= maxArrived {
		t.take(now, nodes)
	}
	return Reply{IsKnown: now.Sub(t.heardAt) <= evidenceLifetime, Elapsed: now.Sub(t.progress.Began), Bad: t.progress.Bad}
}

const (
	// takeInterval is how long reports that arrive are put by: a large fleet sends hundreds a second, and adding each by itself would
	// cost a fifth of a core.
	takeInterval = 100 * time.Millisecond
	// maxArrived bounds the reports that are put by.
	maxArrived = 4096
)

// take adds the reports that have arrived to the evidence.
func (t *tracked) take(now time.Time, nodes []string) {
	t.takenAt = now
	t.evidence = t.evidence.With(t.arrived...)
	t.arrived = nil
	t.heardAt = t.evidence.heardAt(nodes)
	t.progress = t.progress.WithHeard(t.heardAt)
}

// sum returns the rollout of a service after what the fleet has reported was added up, if that is due. In a large fleet that takes tens of
// milliseconds, so requests do not wait for it.
func (k *Keeper) sum(now time.Time, service string) *tracked {
	k.mu.Lock()
	t := k.rollouts[service]
	if t == nil || now.Sub(t.summedAt) < sumInterval {
		k.mu.Unlock()
		return t
	}
	t.summedAt = now
	evidence := t.evidence
	k.mu.Unlock()
	sum := evidence.Sum()
	k.mu.Lock()
	defer k.mu.Unlock()
	t.sum = sum
	if t.progress.Bad == nil && !t.progress.State.IsFinal() {
		t.progress = t.progress.WithVerdict(now, Judge(sum, t.fleet.earlier(now, sum)))
	}
	return t
}

// Learn takes in another node's reply to a report of this node.
func (k *Keeper) Learn(now time.Time, o Order, r Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.rollouts[o.Service]
	if t == nil || !t.progress.Order.Is(o) {
		return
	}
	if r.IsKnown {
		t.progress = t.progress.WithElapsed(now, r.Elapsed).WithHeard(now)
	}
	if r.Bad != nil {
		t.progress = t.progress.WithVerdict(now, *r.Bad)
	}
}

// Decide judges by the responses of the fleet and by this node's own ones, and returns the progress of the rollout of a service and what to do about its stored state.
// rank is the node's place among those that collect the evidence, nodes are all nodes.
//
// targets are the service's usable ones: a node without requests of its own takes part in the steps all the same.
func (k *Keeper) Decide(now time.Time, service string, rank int, nodes []string, targets []registry.Target) (Progress, Situation, Action) {
	k.mu.Lock()
	if t := k.rollouts[service]; t != nil {
		t.take(now, nodes)
	}
	k.mu.Unlock()
	t := k.sum(now, service)
	k.mu.Lock()
	defer k.mu.Unlock()
	if t == nil || k.rollouts[service] != t {
		return Progress{}, Situation{}, Keep{}
	}
	k.advance(now, t, k.permitted(service, targets))
	if t.progress.Bad == nil && !t.progress.State.IsFinal() && t.local.isDue(now) {
		t.progress = t.progress.WithVerdict(now, Judge(t.own, t.local.earlier(now, t.own)))
	}
	s := Situation{Rank: rank, HasEvidence: now.Sub(t.heardAt) <= reportLifetime, IsDrained: t.evidence.IsDrained(now, nodes), Sum: t.sum}
	return t.progress, s, t.progress.Next(now, s)
}

// heardAt returns the latest time since which more than half of the nodes have reported, zero if fewer have.
func (e Evidence) heardAt(nodes []string) time.Time {
	latest := map[string]time.Time{}
	for k, h := range e.reports {
		if h.at.After(latest[k.node]) {
			latest[k.node] = h.at
		}
	}
	times := make([]time.Time, 0, len(nodes))
	for _, name := range nodes {
		if at, ok := latest[name]; ok {
			times = append(times, at)
		}
	}
	if 2*len(times) <= len(nodes) {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(nodes)/2]
}
