package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// TestReportsFetchedInputsBeforeTheCallEnds covers a chain of stages whose results fill the space of their targets:
// they may be freed as soon as the next stage has fetched them, not only when its call ends.
func TestReportsFetchedInputsBeforeTheCallEnds(t *testing.T) {
	block := make(chan struct{})
	f := &fakeTargets{run: func(n int, _ registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if n > 1 {
			<-block
		}
		return nil, nil
	}}
	d := newTestDispatcher(f, target("t1", "a"))
	// The first call shows that no other dispatcher uses the target.
	if _, err := d.Produce(context.Background(), testGroup("first", 1, 1), noCallbacks); err != nil {
		t.Fatal(err)
	}
	fetched := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = d.Produce(context.Background(), testGroup("r", 2, 1), Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() { close(fetched) }})
	}()
	select {
	case <-fetched:
	case <-done:
		t.Error("group was done before its inputs were reported as fetched")
	case <-time.After(2 * time.Second):
		t.Error("inputs were not reported as fetched while the call ran")
	}
	close(block)
	<-done
}

// TestKeepsInputsWhileAnotherDispatcherUsesTheTarget covers two dispatchers of one service, as after a network
// partition: a call may wait behind one of the other dispatcher, and needs its inputs only when it runs.
func TestKeepsInputsWhileAnotherDispatcherUsesTheTarget(t *testing.T) {
	f := &fakeTargets{otherCalls: 1}
	d := newTestDispatcher(f, target("t1", "a"))
	if _, err := d.Produce(context.Background(), testGroup("first", 1, 1), noCallbacks); err != nil {
		t.Fatal(err)
	}
	var ended, fetched atomic.Bool
	f.run = func(_ int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		time.Sleep(3 * fetchTime)
		if fetched.Load() {
			t.Error("inputs were reported as fetched before the call had ended")
		}
		ended.Store(true)
		return f.newResults(x, pieces), nil
	}
	g := testGroup("second", 1, 1)
	g.PieceKey, g.Inputs = "", []string{"t9:1/1"}
	out, err := d.Produce(context.Background(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() { fetched.Store(true) }})
	if err != nil || out[0].Reason != batch.Completed || !ended.Load() {
		t.Fatalf("got %v (%v), want the piece completed", out, err)
	}
}

// TestKeepsInputsWhileAnotherDispatcherMayBeCalling covers a change of the dispatcher of a shard: the former one runs its last groups beside
// those of the new one, and knows the target only from calls that were made alone.
func TestKeepsInputsWhileAnotherDispatcherMayBeCalling(t *testing.T) {
	self, other := registry.Node{Name: "self", Datacentre: "a"}, registry.Node{Name: "other", Datacentre: "a"}
	if nodeOfShard(registry.New().WithNodes([]registry.Node{self, other}), "s", "", func(registry.Node) bool { return true }) == self.Name {
		self.Name, other.Name = other.Name, self.Name
	}
	tests := []struct {
		name   string
		nodes  []registry.Node
		drains bool
		want   bool
	}{
		{name: "has the shard", nodes: []registry.Node{self}, want: true},
		{name: "another node has joined and has the shard", nodes: []registry.Node{self, other}, want: false},
		{name: "stops", nodes: []registry.Node{self}, drains: true, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeTargets{}
			d := newTestDispatcher(f, target("t1", "a"))
			d.cfg.Self = self.Name
			if _, err := d.Produce(context.Background(), testGroup("first", 1, 1), noCallbacks); err != nil {
				t.Fatal(err)
			}
			r := d.cfg.Registry().WithNodes(tt.nodes)
			d.cfg.Registry = func() *registry.Registry { return r }
			if tt.drains {
				d.Drain()
			}
			var fetched, early atomic.Bool
			f.run = func(_ int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
				time.Sleep(3 * fetchTime)
				early.Store(fetched.Load())
				return f.newResults(x, pieces), nil
			}
			g := testGroup("second", 1, 1)
			g.PieceKey, g.Inputs = "", []string{"t9:1/1"}
			out, err := d.Produce(context.Background(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() { fetched.Store(true) }})
			if err != nil || out[0].Reason != batch.Completed {
				t.Fatalf("got %v (%v), want the piece completed", out, err)
			}
			if got := early.Load(); got != tt.want {
				t.Errorf("got inputs reported as fetched before the end of the call: %t, want %t", got, tt.want)
			}
		})
	}
}

// TestWaitsForSlowCallWhoseInputsAreFreed covers a target that becomes slow: a second call for its pieces would find
// their inputs gone, while the first still returns its results.
func TestWaitsForSlowCallWhoseInputsAreFreed(t *testing.T) {
	f := &fakeTargets{}
	f.run = func(n int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			time.Sleep(600 * time.Millisecond)
			return f.newResults(x, pieces), nil
		}
		out := make([]batch.Result, len(pieces))
		for i := range out {
			out[i].Reason = batch.InputLost
		}
		return out, nil
	}
	d := newTestDispatcher(f, target("t1", "a"), target("t2", "a"))
	g := testGroup("r", 2, 1)
	g.PieceKey, g.Inputs = "", []string{"t9:1/1"}
	out, err := d.Produce(context.Background(), g, noCallbacks)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Errorf("got %v (%v), want the results of the slow call", out, err)
	}
}
