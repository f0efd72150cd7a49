package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
)

var (
	errConflict = errors.New("another state is stored")
	errLost     = errors.New("the answer is lost")
	testOrder   = rollout.Order{Service: "svc", Version: "v2", Duration: 2500 * time.Millisecond, Created: 1}
)

// fakeStore holds the state of one order. Nodes hear of it only by their own writes.
type fakeStore struct {
	mu     sync.Mutex
	status rollout.Status
	finals []string
	// loseFinal is set if the answer to the write of the next final state is lost.
	loseFinal bool
}

// write stores a state if the node knows the stored one; otherwise it shows that one to the node.
func (s *fakeStore) write(node string, k *rollout.Keeper, p rollout.Progress, state rollout.State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.State != s.status.State {
		k.SetOrder(time.Now(), testOrder, s.status)
		return errConflict
	}
	s.status = rollout.Status{Version: p.Order.Version, State: state}
	if state.IsFinal() {
		s.finals = append(s.finals, node+" "+string(state))
	}
	if s.loseFinal && state.IsFinal() {
		s.loseFinal = false
		return errLost
	}
	k.SetOrder(time.Now(), testOrder, s.status)
	return nil
}

type noMeter struct{}

func (noMeter) SetRollout(string, string, int, int)      {}
func (noMeter) CountRolloutWrite(string, string, string) {}

type testNode struct {
	name   string
	keeper *rollout.Keeper
}

// isFinal reports whether the node knows a final state.
func (n testNode) isFinal() bool { return len(n.keeper.Rollouts()) == 0 }

// startNodes starts nodes, best ranked first, of which the first dead ones have entries only. fails reports whether a response of the
// new version fails.
func startNodes(t *testing.T, store *fakeStore, count, dead int, fails func(i int) bool) []testNode {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("n-", i))
	}
	ranked := rendezvous.Rank("rollout/svc", slices.Clone(names))
	var entries []registry.Node
	var listeners []net.Listener
	for _, name := range ranked {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		listeners = append(listeners, ln)
		entries = append(entries, registry.Node{Name: name, Address: ln.Addr().String(), StartedAt: 1})
	}
	var targets []registry.Target
	for i := range 4 {
		targets = append(targets, registry.Target{ID: fmt.Sprint("old", i), Service: "svc", Software: "v1", State: registry.Ready}, registry.Target{ID: fmt.Sprint("new", i), Service: "svc", Software: "v2", State: registry.Ready})
	}
	r := registry.New().WithTargets(targets, time.Time{}).WithNodes(entries)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); running.Wait() })
	var nodes []testNode
	for i, name := range ranked {
		if i < dead {
			// It accepts connections and does not answer, as a machine that was lost.
			continue
		}
		k := rollout.NewKeeper(rollout.KeeperConfig{Self: name, StartedAt: 1, Limits: rollout.Limits{Share: 0.1}})
		f := NewFollower(Config{
			Self: name, Keeper: k, Registry: func() *registry.Registry { return r }, Meter: noMeter{}, Log: log, Now: time.Now,
			Write: func(_ context.Context, p rollout.Progress, s rollout.State) error { return store.write(name, k, p, s) },
		})
		server := grpc.NewServer()
		Register(server, f)
		k.SetOrder(time.Now(), testOrder, rollout.Status{})
		f.OrderChanged()
		running.Go(func() { _ = server.Serve(listeners[i]) })
		running.Go(func() { f.Run(ctx) })
		running.Go(func() { sendRequests(ctx, k, targets, fails) })
		t.Cleanup(func() { server.Stop(); f.Close() })
		nodes = append(nodes, testNode{name, k})
	}
	return nodes
}

// sendRequests sends requests as the gateway does, some 1,000 a second.
func sendRequests(ctx context.Context, k *rollout.Keeper, targets []registry.Target, fails func(i int) bool) {
	for i := 0; ctx.Err() == nil; i++ {
		now := time.Now()
		list := k.Lists(now, "svc", targets, 1, false)[0]
		x := list[i%len(list)]
		if s, ok := k.Begin(now, rollout.SendRequest{Target: x, Route: "chat", Count: 1}); ok {
			result := rollout.Succeeded
			if x.Software == "v2" && fails(i) {
				result = rollout.Failed
			}
			k.End(now.Add(100*time.Millisecond), s, result)
		}
		if i%10 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// waitFinal waits until all nodes know a final state.
func waitFinal(t *testing.T, nodes []testNode, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if !slices.ContainsFunc(nodes, func(n testNode) bool { return !n.isFinal() }) {
			return
		}
		if time.Now().After(end) {
			t.Errorf("a node knows no final state after %s", within)
			return
		}
	}
}

// TestNextCollectorWrites guards against a rollout that ends with its first collector: that one is lost, and the next one writes before
// the deadline. The third node learns the state by its conflict only.
func TestNextCollectorWrites(t *testing.T) {
	store := &fakeStore{}
	nodes := startNodes(t, store, 3, 1, func(int) bool { return false })
	waitFinal(t, nodes, testOrder.Duration+time.Second)
	if want := nodes[0].name + " completed"; len(store.finals) != 1 || store.finals[0] != want {
		t.Errorf("got final states %q, want only %q", store.finals, want)
	}
}

// TestLostAnswerIsSettledByConflict guards against a second decision after the answer to the first one is lost, and against nodes that do
// not stop: one in two responses of the new version fails, and no node alone decides for the others.
func TestLostAnswerIsSettledByConflict(t *testing.T) {
	store := &fakeStore{}
	store.loseFinal = true
	nodes := startNodes(t, store, 3, 0, func(i int) bool { return i%2 == 0 })
	waitFinal(t, nodes, testOrder.Duration)
	if len(store.finals) != 1 || store.loseFinal || store.status.State != rollout.RolledBack {
		t.Errorf("got final states %q, want one, rolled_back", store.finals)
	}
}

// stepMeter holds the latest step.
type stepMeter struct {
	noMeter
	step *string
}

func (m stepMeter) SetRollout(_, step string, _, _ int) { *m.step = step }

// TestEndOfRolloutIsRecorded guards against metrics that show a step for ever after the final state, or after the order was removed.
func TestEndOfRolloutIsRecorded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1000, 0)
	k := rollout.NewKeeper(rollout.KeeperConfig{Self: "n", Limits: rollout.Limits{Share: 0.1}})
	r := registry.New().WithNodes([]registry.Node{{Name: "n"}})
	got := ""
	f := NewFollower(Config{
		Self: "n", Keeper: k, Registry: func() *registry.Registry { return r }, Meter: stepMeter{step: &got}, Log: log, Now: func() time.Time { return now },
		Write: func(context.Context, rollout.Progress, rollout.State) error { return errConflict },
	})
	look := func() {
		list := k.Rollouts()
		for _, p := range list {
			f.advance(t.Context(), p)
		}
		f.endSteps(list)
	}
	for _, tt := range []struct {
		change func()
		want   rollout.Step
	}{
		{func() { k.SetOrder(now, testOrder, rollout.Status{}) }, rollout.Canary},
		{func() { k.SetOrder(now, testOrder, rollout.Status{Version: "v2", State: rollout.Completed}) }, rollout.Done},
		{func() {
			k.SetOrder(now, rollout.Order{Service: "svc", Version: "v3", Duration: time.Minute}, rollout.Status{})
		}, rollout.Canary},
		{func() { k.RemoveOrder(now, "svc") }, ""},
	} {
		tt.change()
		if look(); got != string(tt.want) {
			t.Errorf("got step %q, want %q", got, tt.want)
		}
	}
}

// TestFinalStateIsNotHeldUpByEarlierFailures guards against a store that is back in time while nodes still wait after their failed
// attempts to write another state, or the state of an earlier order.
func TestFinalStateIsNotHeldUpByEarlierFailures(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1000, 0)
	written := make(chan rollout.State, 1)
	f := NewFollower(Config{Self: "n", Meter: noMeter{}, Log: log, Now: func() time.Time { return now }, Write: func(_ context.Context, _ rollout.Progress, s rollout.State) error {
		written <- s
		return errConflict
	}})
	attempt := func(o rollout.Order, s rollout.State) bool {
		f.write(t.Context(), now, rollout.Progress{Order: o}, rollout.Write{State: s}, rollout.Situation{})
		for isRunning := true; isRunning; time.Sleep(time.Millisecond) {
			f.mu.Lock()
			isRunning = f.writes[o.Service].isRunning
			f.mu.Unlock()
		}
		select {
		case <-written:
			return true
		default:
			return false
		}
	}
	later := testOrder
	later.Created++
	for _, tt := range []struct {
		order rollout.Order
		state rollout.State
		after time.Duration
		want  bool
	}{
		{testOrder, rollout.Running, 0, true},
		{testOrder, rollout.Running, writeRetry, true},
		{testOrder, rollout.Running, writeRetry, false},
		{testOrder, rollout.RolledBack, 0, true},
		{testOrder, rollout.RolledBack, 0, false},
		{later, rollout.RolledBack, 0, true},
	} {
		now = now.Add(tt.after)
		if got := attempt(tt.order, tt.state); got != tt.want {
			t.Errorf("order %d, %s: got an attempt %t, want %t", tt.order.Created, tt.state, got, tt.want)
		}
	}
}
