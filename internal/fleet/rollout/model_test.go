package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// stored is the object of an order as the model's store holds it; writes have the condition that its revision is the present one.
type stored struct {
	exists   bool
	order    Order
	status   Status
	revision int
}

// modelNode is one node, which knows the object as it was last read.
type modelNode struct {
	keeper   *Keeper
	known    stored
	run      int64
	running  []Send
	requests int
	trials   int
	// isBad is set once the node has heard that the version is bad.
	isBad bool
}

// model is a fleet of which any part may be late, lost or frozen at any time.
type model struct {
	now     time.Time
	store   stored
	nodes   []*modelNode
	names   []string
	reports []Report
	targets []registry.Target
	// ordered holds the versions that were ordered in the present object.
	ordered map[string]bool
}

func newModel() *model {
	m := &model{now: testBegin, targets: testTargets(3)}
	for i := range 3 {
		m.names = append(m.names, fmt.Sprint("n", i))
		m.nodes = append(m.nodes, &modelNode{})
	}
	for i := range 3 {
		m.targets = append(m.targets, registry.Target{ID: fmt.Sprint("third", i), Service: "svc", Software: "v3"})
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	n := m.nodes[i]
	*n = modelNode{run: n.run + 1}
	n.keeper = NewKeeper(KeeperConfig{Self: m.names[i], StartedAt: n.run, Limits: testLimits})
	m.read(n)
}

// read lets a node see the store's object.
func (m *model) read(n *modelNode) {
	if !n.known.exists || !n.known.order.Is(m.store.order) {
		n.requests, n.trials, n.isBad = 0, 0, false
	}
	n.known = m.store
	if !m.store.exists {
		n.keeper.RemoveOrder(m.now, "svc")
		n.keeper.RetainOrders(m.now, nil)
		return
	}
	n.keeper.SetOrder(m.now, m.store.order, m.store.status)
	n.keeper.RetainOrders(m.now, map[string]bool{"svc": true})
}

// order replaces the order, or creates it again with another creation. A version that was ordered before returns in a new object only:
// a node that has missed what was between could not tell the two orders apart.
func (m *model) order(version string, isNew bool) {
	created := m.store.order.Created
	if isNew || !m.store.exists || (m.ordered[version] && version != m.store.order.Version) {
		created++
		m.store.status = Status{}
		m.ordered = map[string]bool{}
	}
	m.store = stored{true, Order{Service: "svc", Version: version, Duration: 5 * time.Second, Created: created}, m.store.status, m.store.revision + 1}
	m.ordered[version] = true
}

// final returns the final state of the stored order, "" if it has none.
func (s stored) final() State {
	if s.exists && s.status.Version == s.order.Version && s.status.State.IsFinal() {
		return s.status.State
	}
	return ""
}

// write does what a node decides about the stored state; the answer may be lost.
func (m *model) write(t *rapid.T, n *modelNode, rank int, isLost bool) {
	p, _, action := n.keeper.Decide(m.now, "svc", rank, m.names, m.targets)
	w, ok := action.(Write)
	if !ok {
		return
	}
	if p.State.IsFinal() {
		t.Fatalf("got %+v of a node that knows %s", w, p.State)
	}
	if n.known.revision != m.store.revision {
		m.read(n)
		return
	}
	if got := m.store.final(); got != "" {
		t.Fatalf("%s was written over %s", w.State, got)
	}
	m.store.status = Status{Version: p.Order.Version, State: w.State, Began: p.Began}
	m.store.revision++
	if !isLost {
		m.read(n)
	}
}

// request sends one request at a node to the first list or the last one and checks where it may go.
func (m *model) request(t *rapid.T, n *modelNode, takesLast bool) {
	lists := n.keeper.Lists(m.now, "svc", m.targets, 1, false)
	list := lists[0]
	if takesLast {
		list = lists[len(lists)-1]
	}
	if len(list) == 0 {
		return
	}
	x := list[rapid.IntRange(0, len(list)-1).Draw(t, "target")]
	s, ok := n.keeper.Begin(m.now, SendRequest{Target: x, Route: "chat", Count: 1})
	if !ok {
		t.Fatalf("got %s of %s listed and not permitted", x.ID, x.Software)
	}
	n.running = append(n.running, s)
	n.check(t, m.now, x.Software)
}

// check checks that a request may go to a version as far as its node knows.
func (n *modelNode) check(t *rapid.T, now time.Time, version string) {
	if !n.known.exists {
		return
	}
	p := n.keeper.rollouts["svc"].progress
	n.requests++
	if version != n.known.order.Version {
		if n.known.final() == Completed {
			t.Fatalf("got a request to %s after %s was completed", version, n.known.order.Version)
		}
		return
	}
	if n.known.final() == RolledBack || (n.isBad && n.known.final() == "") {
		t.Fatalf("got a request to %s, which is rolled back: %+v", version, p)
	}
	if p.Step(now) != Canary {
		return
	}
	n.trials++
	if float64(n.trials) > testLimits.Share*float64(n.requests) {
		t.Fatalf("got %d of %d requests sent to %s before the shift, want at most %v", n.trials, n.requests, version, testLimits.Share)
	}
}

// TestFleetKeepsItsRules plays any sequence of orders, requests, reports that are late, lost or arrive twice, restarts, and writes that
// conflict or whose answers are lost. It guards against a second final state, a way out of one, too many requests to a version on trial
// and any to a version that was rolled back or whose order has ended. At last the fleet works again and must reach a final state.
func TestFleetKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		final, finalOrder := State(""), Order{}
		node := func(t *rapid.T) *modelNode { return m.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				if !rapid.Bool().Draw(t, "rarely") {
					m.order(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "version"), rapid.Bool().Draw(t, "new"))
				}
			},
			"remove": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					m.store.exists, m.store.revision = false, m.store.revision+1
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
			},
			"read": func(t *rapid.T) { m.read(node(t)) },
			"other node writes": func(t *rapid.T) {
				if m.store.exists && m.store.final() == "" {
					m.store.status = Status{Version: m.store.order.Version, State: rapid.SampledFrom([]State{Running, Completed, RolledBack}).Draw(t, "state")}
					m.store.revision++
				}
			},
			"old list": func(t *rapid.T) {
				// Another node's list may be from before the state that this node knows.
				if n := node(t); n.known.exists {
					n.keeper.SetOrder(m.now, n.known.order, Status{Version: n.known.order.Version, State: Running})
				}
			},
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, 2).Draw(t, "node")) },
			"requests": func(t *rapid.T) {
				n, takesLast := node(t), rapid.Bool().Draw(t, "last")
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					m.request(t, n, takesLast)
				}
			},
			"responses": func(t *rapid.T) {
				n, fails := node(t), rapid.SampledFrom([]string{"", "v2", "v3"}).Draw(t, "failing")
				for _, s := range n.running {
					result := Succeeded
					if s.software == fails {
						result = Failed
					}
					n.keeper.End(m.now, s, result)
				}
				n.running = nil
			},
			"report": func(t *rapid.T) {
				if r, _, ok := node(t).keeper.Report(m.now, "svc"); ok {
					m.reports = append(m.reports, r)
				}
			},
			"arrive": func(t *rapid.T) {
				for range min(4, len(m.reports)) {
					r := rapid.SampledFrom(m.reports).Draw(t, "report")
					reply := node(t).keeper.Receive(m.now, r, m.names)
					node(t).keeper.Learn(m.now, r.Order, reply)
				}
			},
			"verdict": func(t *rapid.T) {
				if n := node(t); n.known.exists {
					n.keeper.Learn(m.now, n.known.order, Reply{IsKnown: rapid.Bool().Draw(t, "known"), Bad: &Bad{Reason: Failing}})
					n.isBad = true
				}
			},
			"write": func(t *rapid.T) {
				m.write(t, node(t), rapid.IntRange(0, 2).Draw(t, "rank"), rapid.Bool().Draw(t, "lost"))
			},
			"": func(t *rapid.T) {
				if final != "" && m.store.exists && m.store.order.Is(finalOrder) && m.store.final() != final {
					t.Fatalf("got state %q after %s", m.store.final(), final)
				}
				final, finalOrder = m.store.final(), m.store.order
				for _, n := range m.nodes {
					n.checkWithdrawn(t, m.now)
				}
			},
		})
		m.finish(t)
	})
}

// checkWithdrawn checks that a node keeps from versions whose order has ended.
func (n *modelNode) checkWithdrawn(t *rapid.T, now time.Time) {
	for version := range n.keeper.withdrawn["svc"] {
		x := registry.Target{ID: "x", Service: "svc", Software: version}
		if _, ok := n.keeper.Begin(now, SendRequest{Target: x, Count: 1}); ok {
			t.Fatalf("got a request to %s permitted, whose order has ended", version)
		}
	}
	if x := n.keeper.rollouts["svc"]; x != nil && n.known.exists && !x.progress.Order.Is(n.known.order) {
		t.Fatalf("got order %+v, want %+v", x.progress.Order, n.known.order)
	}
}

// finish lets all nodes and the store work again until the deadline.
func (m *model) finish(t *rapid.T) {
	if !m.store.exists {
		return
	}
	for range 150 {
		m.now = m.now.Add(100 * time.Millisecond)
		for i, n := range m.nodes {
			m.read(n)
			m.request(t, n, false)
			r, _, _ := n.keeper.Report(m.now, "svc")
			for _, other := range m.nodes {
				n.keeper.Learn(m.now, r.Order, other.keeper.Receive(m.now, r, m.names))
			}
			m.write(t, n, i, false)
		}
	}
	if got := m.store.final(); got == "" {
		t.Fatalf("got no final state of %+v", m.store)
	}
	for i, n := range m.nodes {
		m.read(n)
		if got, want := n.keeper.rollouts["svc"].progress.State, m.store.final(); got != want {
			t.Fatalf("node %d: got state %s, want %s", i, got, want)
		}
	}
}
