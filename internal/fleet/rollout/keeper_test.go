package rollout

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

var (
	testLimits = Limits{Share: 0.1, Extra: 50, Rollback: 5 * time.Second}
	testOrder  = Order{Service: "svc", Version: "v2", Duration: 6 * time.Second, Created: 5}
	testBegin  = time.Unix(1000, 0)
	testNodes  = []string{"n0", "n1", "n2"}
)

// testTargets returns n targets of each of two versions.
func testTargets(n int) []registry.Target {
	var list []registry.Target
	for i := range n {
		list = append(list, registry.Target{ID: fmt.Sprint("old", i), Service: "svc", Software: "v1"}, registry.Target{ID: fmt.Sprint("new", i), Service: "svc", Software: "v2"})
	}
	return list
}

func newTestKeeper(name string) *Keeper {
	return NewKeeper(KeeperConfig{Self: name, StartedAt: 1, Limits: testLimits})
}

// goodSum is the responses of a node at which both versions succeed.
func goodSum(n int) Sum {
	sum := Sum{Requests: n, Sent: n / 13}
	for i := range n {
		key := Key{Route: "chat"}
		if i < n/13 {
			key.Target = fmt.Sprint("new", i%2)
		}
		sum = sum.WithResponse(Response{Key: key, Took: 100 * time.Millisecond})
	}
	return sum
}

// TestCollectorWithoutRequestsCompletes guards against a good version that is rolled back since the node which writes the state gets
// none of the service's requests and so never shifts.
func TestCollectorWithoutRequestsCompletes(t *testing.T) {
	k := newTestKeeper("n0")
	k.SetOrder(testBegin, testOrder, Status{})
	var got Action
	for at := time.Duration(0); at <= testOrder.Duration; at += 500 * time.Millisecond {
		now := testBegin.Add(at)
		for _, n := range testNodes {
			r := Report{Node: n, StartedAt: 1, Order: testOrder, Elapsed: at, IsShifted: at > 4*time.Second, OldRunning: 1}
			if n != "n0" {
				r.Sum = goodSum(40 + int(at/time.Second))
			}
			k.Receive(now, r, testNodes)
		}
		if _, _, got = k.Decide(now, "svc", 0, testNodes, testTargets(4)); got == (Write{Running, Seen}) {
			k.SetOrder(now, testOrder, Status{Version: "v2", State: Running})
		}
	}
	if want := (Write{Completed, DueNow}); got != want {
		t.Errorf("got %+v at the deadline, want %+v", got, want)
	}
}

// TestNodeCutOffFromOthersPauses guards against a node which takes its own reports for the evidence of the fleet: it would go on
// sending to a version that all others have left.
func TestNodeCutOffFromOthersPauses(t *testing.T) {
	k := newTestKeeper("n0")
	p, _ := k.SetOrder(testBegin, testOrder, Status{})
	var last time.Time
	for at := time.Duration(0); at < testOrder.Duration; at += 100 * time.Millisecond {
		now := testBegin.Add(at)
		r, _, _ := k.Report(now, "svc")
		if reply := k.Receive(now, r, testNodes); reply.IsKnown {
			t.Fatalf("after %s: got a reply for the fleet from one of three nodes", at)
		}
		k.Learn(now, testOrder, Reply{Elapsed: at})
		for range 10 {
			for _, list := range k.Lists(now, "svc", testTargets(4), 1, false)[:1] {
				if s, ok := k.Begin(now, SendRequest{Target: list[len(list)-1], Route: "chat", Count: 1}); ok {
					k.End(now, s, Succeeded)
					if s.software == "v2" {
						last = now
					}
				}
			}
		}
		p, _, _ = k.Decide(now, "svc", 0, testNodes, testTargets(4))
	}
	if got, want := last.Sub(testBegin), evidenceLifetime; got > want || got == 0 {
		t.Errorf("got the last request to the new version %s after the order, want some until %s", got, want)
	}
	if got := p.Step(testBegin.Add(5 * time.Second)); got != Paused {
		t.Errorf("got step %s, want %s", got, Paused)
	}
}

// TestRestartedNodeHearsEvidenceFirst guards against a node that starts shortly before the deadline and sends all requests to a version
// on which the others already have a verdict that the store does not have yet.
func TestRestartedNodeHearsEvidenceFirst(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reply Reply
		want  Step
	}{
		{"no verdict", Reply{IsKnown: true, Elapsed: 5 * time.Second}, Shifted},
		{"bad version", Reply{IsKnown: true, Elapsed: 5 * time.Second, Bad: &Bad{Reason: Failing}}, Withdrawn},
		{"collector that hears few", Reply{Elapsed: 5 * time.Second}, Paused},
	} {
		k := newTestKeeper("n1")
		k.SetOrder(testBegin, testOrder, Status{Version: "v2", State: Running, Began: testBegin.Add(-5 * time.Second)})
		if got := k.Lists(testBegin, "svc", testTargets(2), 1, false); len(got) != 1 || got[0][0].Software != "v1" || len(got[0]) != 2 {
			t.Errorf("%s: got targets %+v before any evidence, want those of v1", tt.name, got)
		}
		k.Learn(testBegin, testOrder, tt.reply)
		p, _, _ := k.Decide(testBegin, "svc", 1, testNodes, testTargets(2))
		if got := p.Step(testBegin); got != tt.want {
			t.Errorf("%s: got step %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestWithdrawnVersionStaysOut guards against requests to a version whose order was removed or replaced: when its targets are not
// usable for a moment, when they start only then, and at a node that starts after it.
func TestWithdrawnVersionStaysOut(t *testing.T) {
	second := Order{Service: "svc", Version: "v3", Duration: 6 * time.Second, Created: 9}
	running := Status{Version: "v2", State: Running}
	completed := Status{Version: "v2", State: Completed}
	for _, tt := range []struct {
		name string
		end  func(k *Keeper)
		want bool
	}{
		{"removed", func(k *Keeper) { k.SetOrder(testBegin, testOrder, running); k.RemoveOrder(testBegin, "svc") }, false},
		{"not listed", func(k *Keeper) { k.SetOrder(testBegin, testOrder, running); k.RetainOrders(testBegin, nil) }, false},
		{"replaced", func(k *Keeper) {
			k.SetOrder(testBegin, testOrder, running)
			k.SetOrder(testBegin, second, running)
		}, false},
		{"replaced before this node started", func(k *Keeper) { k.SetOrder(testBegin, second, running) }, false},
		{"completed and replaced", func(k *Keeper) { k.SetOrder(testBegin, second, completed) }, true},
		{"completed and removed", func(k *Keeper) { k.SetOrder(testBegin, testOrder, completed); k.RemoveOrder(testBegin, "svc") }, true},
		{"removed and ordered again", func(k *Keeper) {
			k.SetOrder(testBegin, testOrder, running)
			k.RemoveOrder(testBegin, "svc")
			k.SetOrder(testBegin, Order{Service: "svc", Version: "v2", Duration: time.Minute, Created: 9}, Status{Version: "v2", State: Completed})
		}, true},
	} {
		k := newTestKeeper("n0")
		tt.end(k)
		draining := testTargets(1)
		draining[1].State = registry.Draining
		now := testBegin
		for _, r := range []*registry.Registry{registry.New(), registry.New().WithTargets(draining, time.Time{}), registry.New()} {
			now = now.Add(20 * time.Second)
			k.ForgetGone(now, r)
			if _, got := k.Begin(now, SendRequest{Target: testTargets(1)[1], Count: 1}); got != tt.want {
				t.Errorf("%s: after %s: got %t, want %t", tt.name, now.Sub(testBegin), got, tt.want)
			}
		}
		for range 3 {
			now = now.Add(withdrawnLifetime)
			if k.ForgetGone(now, registry.New()); !k.isWithdrawn("svc", "v2") {
				break
			}
		}
		if k.isWithdrawn("svc", "v2") {
			t.Errorf("%s: the version is held although its targets are long gone", tt.name)
		}
	}
}

// TestNothingIsSentBeforeOrdersAreRead guards against a node that starts during a rollout, knows the targets before the order, and
// takes those of the new version for usual ones.
func TestNothingIsSentBeforeOrdersAreRead(t *testing.T) {
	send := func(k *Keeper, now time.Time) (listed int, isPermitted bool) {
		for _, list := range k.Lists(now, "svc", testTargets(1), 1, false) {
			listed += len(list)
		}
		_, isPermitted = k.Begin(now, SendRequest{Target: testTargets(1)[0], Count: 1})
		return listed, isPermitted
	}
	k := NewKeeper(KeeperConfig{Self: "n0", StartedAt: testBegin.UnixMilli(), Limits: testLimits})
	if n, ok := send(k, testBegin); n != 0 || ok || !k.IsActive(testBegin, "svc") {
		t.Errorf("got %d targets, %t before the orders were read, want none", n, ok)
	}
	if n, ok := send(k, testBegin.Add(maxListWait)); n != 2 || !ok {
		t.Errorf("got %d targets, %t after %s without orders, want 2", n, ok, maxListWait)
	}
	k.RetainOrders(testBegin, nil)
	if n, ok := send(k, testBegin); n != 2 || !ok || k.IsActive(testBegin, "svc") {
		t.Errorf("got %d targets, %t without an order, want 2", n, ok)
	}
}

// TestFrozenNodeHearsEvidenceFirst guards against a node that was frozen after the shift and goes on with a version that the others have
// left. A node that is only cut off stays with the new version, since the targets of the others may have been stopped.
func TestFrozenNodeHearsEvidenceFirst(t *testing.T) {
	for _, isFrozen := range []bool{false, true} {
		k := newTestKeeper("n1")
		k.SetOrder(testBegin, testOrder, Status{})
		at := testBegin.Add(4 * time.Second)
		k.Learn(at, testOrder, Reply{IsKnown: true, Elapsed: 4 * time.Second})
		k.Decide(at, "svc", 1, testNodes, testTargets(2))
		for end := at.Add(10 * time.Second); at.Before(end); at = at.Add(100 * time.Millisecond) {
			if !isFrozen {
				k.Report(at, "svc")
			}
		}
		send := SendRequest{Target: testTargets(1)[1], Route: "chat", Count: 1}
		if _, got := k.Begin(at, send); got == isFrozen {
			t.Errorf("frozen %t: got a request to the new version permitted %t, want %t", isFrozen, got, !isFrozen)
		}
		k.Learn(at, testOrder, Reply{IsKnown: true, Elapsed: 14 * time.Second})
		k.Lists(at, "svc", testTargets(2), 1, false)
		if _, got := k.Begin(at, send); !got {
			t.Errorf("frozen %t: got the new version refused after the evidence has been heard", isFrozen)
		}
	}
}

// TestCanariesShareTheTrial guards against a trial in which one target gets nearly all requests: a verdict leaves out the worst target and
// would come after the shift.
func TestCanariesShareTheTrial(t *testing.T) {
	got := map[string]int{}
	for n := range 6 {
		k := newTestKeeper(fmt.Sprint("n", n))
		k.SetOrder(testBegin, testOrder, Status{})
		for range 60 {
			list := k.Lists(testBegin, "svc", testTargets(4), 1, false)[0]
			k.Begin(testBegin, SendRequest{Target: list[0], Count: 1})
			got[list[0].ID] += len(list) % 4
		}
	}
	canaries := testOrder.Canaries(testTargets(4), testLimits)
	for _, x := range canaries {
		if n := got[x.ID] / 2; n < 9 || n > 15 {
			t.Errorf("got %d requests to %s, want 12 of 24", n, x.ID)
		}
	}
}

// TestConcurrentRequestsKeepTheShare guards against requests that are placed at once and all find the share unused; they begin one by one.
func TestConcurrentRequestsKeepTheShare(t *testing.T) {
	k := newTestKeeper("n0")
	k.SetOrder(testBegin, testOrder, Status{})
	var sent, requests atomic.Int64
	var senders sync.WaitGroup
	for range 16 {
		senders.Go(func() {
			for range 200 {
				lists := k.Lists(testBegin, "svc", testTargets(4), 1, false)
				for _, list := range lists {
					s, ok := k.Begin(testBegin, SendRequest{Target: list[0], Route: "chat", Count: 1})
					if !ok {
						continue
					}
					requests.Add(1)
					if s.software == "v2" {
						sent.Add(1)
					}
					k.End(testBegin, s, Succeeded)
					break
				}
			}
		})
	}
	senders.Wait()
	r, _, _ := k.Report(testBegin, "svc")
	if got, want := sent.Load(), int64(canaryPart*testLimits.Share*float64(requests.Load())); got > want || got < want-2 {
		t.Errorf("got %d of %d requests sent to the new version, want %d", got, requests.Load(), want)
	}
	if int64(r.Sum.Requests) != requests.Load() || r.Sum.responses() != int(sent.Load()) || len(k.running["svc"]) != 0 {
		t.Errorf("got %+v counted and %v running, want %d requests, %d responses and none running", r.Sum, k.running, requests.Load(), sent.Load())
	}
}
