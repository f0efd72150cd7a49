package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

// witnessTime is two renewals: by then each lease names its witnesses, and these have confirmed it.
const witnessTime = 1200 * time.Millisecond

// activationBound is the users' requirement: an accepted change is active on every node within this time.
const activationBound = 5 * time.Second

// quickTiming returns the default timing with shorter intervals, to keep the tests short.
func quickTiming() settings.Timing {
	t := settings.Default().Timing
	t.Heartbeat = duration.Duration(100 * time.Millisecond)
	t.Lease = duration.Duration(2 * time.Second)
	t.RenewInterval = duration.Duration(500 * time.Millisecond)
	t.IsolationTimeout = duration.Duration(1500 * time.Millisecond)
	t.BalancerLag = duration.Duration(200 * time.Millisecond)
	return t
}

func start(t *testing.T, cfg Config) *Testbed {
	t.Helper()
	if cfg.Deployment == "" {
		cfg.Deployment = "zoo"
	}
	if cfg.Nodes == 0 {
		cfg.Nodes = 6
	}
	cfg.Timing = quickTiming()
	cfg.Seed = 1
	b, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	return b
}

func post(address, pipeline string, c callerapi.RunRequest) (callerapi.Response, *http.Response, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return callerapi.Response{}, nil, err
	}
	client := &http.Client{Timeout: 15 * time.Second}
	resp, err := client.Post("http://"+address+"/v1/pipelines/"+pipeline, "application/json", bytes.NewReader(data))
	if err != nil {
		return callerapi.Response{}, nil, err
	}
	defer resp.Body.Close()
	var r callerapi.Response
	err = json.NewDecoder(resp.Body).Decode(&r)
	return r, resp, err
}

func renewalRequest(order, key string) callerapi.RunRequest {
	return callerapi.RunRequest{Team: "members", IdempotencyKey: key, Input: Input(order)}
}

func waitFor(t *testing.T, what string, within time.Duration, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			t.Fatalf("%s: condition not met within %s", what, within)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

func (b *Testbed) allHaveRelease(number uint64) bool {
	for _, n := range b.RunningNodes() {
		if n.Process.Node().Release() == nil || n.Process.Node().Release().Head.Number < number {
			return false
		}
	}
	return true
}

func TestKeyRunsOnceAtAnyNode(t *testing.T) {
	b := start(t, Config{})
	var calls sync.WaitGroup
	replies := make([]callerapi.Response, 12)
	for i := range replies {
		calls.Go(func() {
			replies[i], _, _ = post(b.CallerAddresses()[i%6], "renewal", renewalRequest("order-1", "key-1"))
		})
	}
	calls.Wait()
	for i, r := range replies {
		if r.Outcome != outcome.KindAnswered || !strings.Contains(string(r.Body), "order-1") {
			t.Errorf("call %d: got %s %s %s, want the response of the single run", i, r.Outcome, r.Text, r.Body)
		}
	}
	if got := b.TargetCounts("payments").Orders["order-1"]; got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	r, resp, err := post(b.CallerAddresses()[0], "renewal", renewalRequest("order-2", "key-1"))
	if err != nil || r.Reason != outcome.KeyReused || resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("got %s %s for another body with the same key, want %s", r.Outcome, r.Reason, outcome.KeyReused)
	}
}

func TestLostResponseIsUnknownAndNeverRunAgain(t *testing.T) {
	b := start(t, Config{})
	for _, e := range b.Targets("payments") {
		e.SetFaults(engine.Faults{LostResponses: 1})
	}
	for i := range 3 {
		r, _, err := post(b.CallerAddresses()[i], "renewal", renewalRequest("order-1", "key-1"))
		if err != nil || r.Outcome != outcome.KindUnknown {
			t.Errorf("call %d: got %s %s, want %s", i, r.Outcome, r.Text, outcome.KindUnknown)
		}
	}
	if got := b.TargetCounts("payments").Orders["order-1"]; got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

func TestOutOfServiceTakesEffectDuringPlatformOutage(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	n := b.Node("mapocho-1").Process.Node()
	b.Set.Datacentres["maipo"] = b.Set.Datacentres["maipo"].WithState(datacentre.OutOfService)
	result, err := b.PublishWith(t.Context(), publication.Options{Operator: "test"})
	if err != nil {
		t.Fatal(err)
	}
	b.Store.SetFaults(store.Faults{Down: true, CloseWatches: true})
	n.ActivateRelease(result.Release)
	took := waitFor(t, "release", activationBound, func() bool { return b.allHaveRelease(result.Number) })
	t.Logf("active on every node after %s", took.Round(time.Millisecond))
	before := time.Now().UnixMilli()
	for i := range 30 {
		r, _, err := post(b.RunningNodes()[i%6].Process.CallerAddress(), "gate", callerapi.RunRequest{Team: "gates", Input: Input(fmt.Sprint("o", i))})
		if err != nil || r.Outcome != outcome.KindAnswered {
			t.Errorf("call %d: got %s %s %v, want answered", i, r.Outcome, r.Text, err)
		}
	}
	for _, e := range b.TargetsIn("maipo") {
		if got := e.Counts().LastArrivalMs; got >= before {
			t.Errorf("target %s: got work after its data centre was out of service", e.Name())
		}
	}
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		drain func(*Testbed)
	}{
		{"VM listed as leaving", func(b *Testbed) { b.Store.SetVM("vm-ticketing-1", vm.Leaving) }},
		{"target reports draining", func(b *Testbed) { b.Target("ticketing-1").SetFaults(engine.Faults{Draining: true}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t, Config{})
			tt.drain(b)
			end := time.Now().Add(3 * time.Second)
			for i := 0; time.Now().Before(end); i++ {
				r, _, err := post(b.CallerAddresses()[i%6], "gate", callerapi.RunRequest{Team: "gates", Input: Input(fmt.Sprint("o", i))})
				if err != nil || r.Outcome != outcome.KindAnswered {
					t.Fatalf("call %d: got %s %s %v, want answered", i, r.Outcome, r.Text, err)
				}
			}
			runs := b.Target("ticketing-1").Counts().Runs
			for i := range 30 {
				_, _, _ = post(b.CallerAddresses()[i%6], "gate", callerapi.RunRequest{Team: "gates", Input: Input(fmt.Sprint("p", i))})
			}
			if got := b.Target("ticketing-1").Counts().Runs; got != runs {
				t.Errorf("got %d new runs, want 0", got-runs)
			}
		})
	}
}

func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	b := start(t, Config{WarmTargets: true})
	// Renewals must not be retried and last longer than the balancer's lag: an interrupted one could not be recovered.
	for _, e := range b.Targets("payments") {
		e.SetFaults(engine.Faults{AddedLatency: 700 * time.Millisecond})
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]int{}
	answered := 0
	for c := range 6 {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				pipeline, call := "letter", callerapi.RunRequest{Team: "keepers", Input: Input(fmt.Sprintf("l%d-%d", c, i))}
				if i%2 == 0 {
					order := fmt.Sprintf("r%d-%d", c, i)
					pipeline, call = "renewal", renewalRequest(order, order)
				}
				nodes := b.CallerAddresses()
				r, _, err := post(nodes[(c+i)%len(nodes)], pipeline, call)
				mu.Lock()
				if err == nil && r.Outcome == outcome.KindAnswered {
					answered++
				} else {
					unanswered[fmt.Sprint(pipeline, " ", r.Outcome, " ", r.Reason, " ", r.Text, " ", err)]++
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range b.NodeNames() {
		b.StopNode(context.Background(), name)
		if err := b.StartNode(name); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "restart of "+name, 10*time.Second, func() bool { return b.Node(name).Process.Node().Ready() })
	}
	close(stop)
	calls.Wait()
	if len(unanswered) > 0 {
		t.Errorf("got %d answered, other outcomes %v, want all answered", answered, unanswered)
	}
	for order, n := range b.TargetCounts("payments").Orders {
		if n > 1 {
			t.Errorf("order %s: got %d runs, want 1", order, n)
		}
	}
}

func TestOutageRefusesOnlyKeyedRequestsAndRecovers(t *testing.T) {
	b := start(t, Config{WarmTargets: true})
	time.Sleep(witnessTime)
	if r, _, _ := post(b.CallerAddresses()[0], "renewal", renewalRequest("before", "before")); r.Outcome != outcome.KindAnswered {
		t.Fatalf("got %s before the outage, want answered", r.Outcome)
	}
	b.Store.SetFaults(store.Faults{Down: true, CloseWatches: true})
	time.Sleep(3 * time.Second)
	for i := range 12 {
		r, _, err := post(b.RunningNodes()[i%6].Process.CallerAddress(), "portal", callerapi.RunRequest{Team: "families", Input: Input("p")})
		if err != nil || r.Outcome != outcome.KindAnswered {
			t.Errorf("portal %d: got %s %s %v in the outage, want answered", i, r.Outcome, r.Text, err)
		}
	}
	r, resp, err := post(b.RunningNodes()[0].Process.CallerAddress(), "renewal", renewalRequest("during", "during"))
	if err != nil || r.Outcome != outcome.KindNotRun || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %s %v in the outage, want notrun with a Retry-After header", r.Outcome, err)
	}
	b.Store.SetFaults(store.Faults{})
	took := waitFor(t, "recovery", 10*time.Second, func() bool {
		r, _, _ = post(b.RunningNodes()[1].Process.CallerAddress(), "renewal", renewalRequest("during", "during"))
		return r.Outcome == outcome.KindAnswered
	})
	t.Logf("recovered after %s", took.Round(time.Millisecond))
	if got := b.TargetCounts("payments").Orders["during"]; got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if r, _, _ := post(b.RunningNodes()[2].Process.CallerAddress(), "renewal", renewalRequest("before", "before")); r.Outcome != outcome.KindAnswered {
		t.Errorf("got %s for the retry, want the response from before the outage", r.Outcome)
	}
	if got := b.TargetCounts("payments").Orders["before"]; got != 1 {
		t.Errorf("got %d runs after the retry, want 1", got)
	}
}

func TestReleaseNeverReverts(t *testing.T) {
	b := start(t, Config{})
	ctx := t.Context()
	var publishers sync.WaitGroup
	accepted := make(chan uint64, 100)
	seen := sync.Map{}
	stop := make(chan struct{})
	var checker sync.WaitGroup
	checker.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			for _, n := range b.RunningNodes() {
				now := n.Process.Node().Release().Head.Number
				old, _ := seen.Swap(n.Name, now)
				if old != nil && old.(uint64) > now {
					t.Errorf("node %s reverted from release %d to %d", n.Name, old, now)
				}
			}
		}
	})
	b.Store.SetFaults(store.Faults{LostResponses: 6, LostKind: "head"})
	for range 4 {
		publishers.Go(func() {
			for range 5 {
				if r, err := b.PublishWith(ctx, publication.Options{Operator: "test"}); err == nil {
					accepted <- r.Number
				}
			}
		})
	}
	publishers.Wait()
	close(accepted)
	var highest uint64
	numbers := map[uint64]int{}
	for n := range accepted {
		numbers[n]++
		highest = max(highest, n)
	}
	for n, count := range numbers {
		if count > 1 {
			t.Errorf("release %d: got accepted %d times, want once", n, count)
		}
	}
	waitFor(t, "last release", activationBound, func() bool { return b.allHaveRelease(highest) })
	// The publications may not have used up all lost responses.
	b.Store.SetFaults(store.Faults{})
	// The platform is restored from an old copy: its head is lower than the active release.
	head, err := b.Store.Get(ctx, "head", "main")
	if err != nil {
		t.Fatal(err)
	}
	var value map[string]any
	if err := json.Unmarshal(head.Value, &value); err != nil {
		t.Fatal(err)
	}
	value["number"] = 1
	if _, err := b.Store.Put(ctx, "head", "main", head.Version, value); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if !b.allHaveRelease(highest) {
		t.Error("got a node with the restored copy's release, want none")
	}
	close(stop)
	checker.Wait()
}

func TestPartitionedNodeTakesNoNewWork(t *testing.T) {
	b := start(t, Config{WithProxies: true})
	n := b.Node("maipo-1")
	n.Platform.SetCut(true)
	n.Proxy.SetMode("cut")
	n.Process.Node().SetPartitioned(true)
	took := waitFor(t, "refusal", activationBound, func() bool {
		r, _, err := post(n.Process.CallerAddress(), "gate", callerapi.RunRequest{Team: "gates", Input: Input("x")})
		return err == nil && r.Outcome == outcome.KindNotRun && r.Reason == outcome.Isolated
	})
	t.Logf("refused requests after %s", took.Round(time.Millisecond))
	r, _, err := post(b.Node("mapocho-1").Process.CallerAddress(), "gate", callerapi.RunRequest{Team: "gates", Input: Input("y")})
	if err != nil || r.Outcome != outcome.KindAnswered {
		t.Errorf("got %s %s %v at another node, want answered", r.Outcome, r.Text, err)
	}
	n.Process.Node().SetPartitioned(false)
	n.Proxy.SetMode("pass")
	n.Platform.SetCut(false)
	waitFor(t, "readiness after reconnection", 10*time.Second, func() bool { return n.Process.Node().Ready() })
}

func TestStartDuringOutageGetsReleaseFromPeers(t *testing.T) {
	b := start(t, Config{})
	b.KillNode("maipo-2")
	seed := b.Node("mapocho-1").Process.Node().PeerAddress()
	b.Store.SetFaults(store.Faults{Down: true, CloseWatches: true})
	b.cfg.PeerSeeds = []string{seed}
	if err := b.StartNode("maipo-2"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "readiness", 10*time.Second, func() bool { return b.Node("maipo-2").Process.Node().Ready() })
	r, _, err := post(b.Node("maipo-2").Process.CallerAddress(), "portal", callerapi.RunRequest{Team: "families", Input: Input("x")})
	if err != nil || r.Outcome != outcome.KindAnswered {
		t.Errorf("got %s %s %v, want answered", r.Outcome, r.Text, err)
	}
}

func TestStalledConnectionCostsOneAttempt(t *testing.T) {
	b := start(t, Config{WarmTargets: true, EditObjects: func(s release.Set) {
		st := s.Stages["gate"]
		st.IdleTimeout = duration.Duration(200 * time.Millisecond)
		s.Stages["gate"] = st
		p := s.Pools["ticketing"]
		p.Targets = append([]pool.Target(nil), p.Targets[:1]...)
		s.Pools["ticketing"] = p
	}})
	call := func(i int) callerapi.Response {
		r, _, err := post(b.CallerAddresses()[i%6], "gate", callerapi.RunRequest{Team: "gates", Input: Input(fmt.Sprint("o", i))})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	for i := range 40 {
		call(i)
	}
	b.Target("ticketing-1").SetFaults(engine.Faults{Stalls: 1})
	before := b.TargetCounts("ticketing").Runs
	for i := range 20 {
		if r := call(100 + i); r.Outcome != outcome.KindAnswered {
			t.Errorf("call %d: got %s %s, want answered", i, r.Outcome, r.Text)
		}
	}
	if got := b.TargetCounts("ticketing").Runs - before; got != 21 {
		t.Errorf("got %d attempts for 20 calls and one stalled connection, want 21", got)
	}
}
