package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/faultproxy"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

var (
	seed      = flag.Uint64("matrix.seed", 1, "seed of the nodes that the faults hit")
	runAll    = flag.Bool("matrix.whole", false, "run every cell instead of one for each fault")
	pairCount = flag.Int("matrix.pairs", 0, "number of additional cells with two faults")
)

// faultTime is how long a fault lasts: longer than a lease.
const (
	faultTime   = 2600 * time.Millisecond
	repeatDelay = 300 * time.Millisecond
	retryTime   = 14 * time.Second
)

var steps = []string{"accepted", "claimed", "queued", "sent", "streaming", "answered", "recorded"}

// faults maps each fault to the function that injects it into a fleet, at the named node if it concerns one; the returned
// function ends it.
var faults = map[string]func(f *fleet, node string) func(){
	"kill": func(f *fleet, node string) func() {
		inst := f.node(node)
		inst.kill()
		return func() {
			if f.node(node) == inst {
				_ = f.startNode(node)
			}
		}
	},
	"freeze": func(f *fleet, node string) func() {
		f.node(node).signal(syscall.SIGSTOP)
		return func() { f.node(node).signal(syscall.SIGCONT) }
	},
	"cut": func(f *fleet, node string) func() {
		inst := f.node(node)
		inst.proxy.SetMode(faultproxy.Disconnect)
		inst.platformProxy.SetMode(faultproxy.Disconnect)
		return func() {
			inst.proxy.SetMode(faultproxy.Forward)
			inst.platformProxy.SetMode(faultproxy.Forward)
		}
	},
	"slow": func(f *fleet, _ string) func() {
		f.setTargetFaults(engine.Faults{AddedLatency: 900 * time.Millisecond})
		return func() { f.setTargetFaults(engine.Faults{}) }
	},
	"silent": func(f *fleet, node string) func() {
		f.node(node).proxy.StallOpen()
		f.node(node).platformProxy.StallOpen()
		for _, inst := range f.targets {
			inst.proxy.StallOpen()
		}
		return func() {}
	},
	"platformdown": func(f *fleet, _ string) func() {
		f.setPlatformFaults(store.Faults{Down: true, CloseWatches: true})
		return func() { f.setPlatformFaults(store.Faults{}) }
	},
	"platformslow": func(f *fleet, _ string) func() {
		f.setPlatformFaults(store.Faults{AddedLatency: 400 * time.Millisecond})
		return func() { f.setPlatformFaults(store.Faults{}) }
	},
	"answerlost": func(f *fleet, _ string) func() {
		f.setPlatformFaults(store.Faults{LostResponses: 4})
		return func() { f.setPlatformFaults(store.Faults{}) }
	},
	"watchgap": func(f *fleet, _ string) func() {
		f.setPlatformFaults(store.Faults{ExpireWatch: true, CloseWatches: true})
		return func() { f.setPlatformFaults(store.Faults{}) }
	},
	"race": func(f *fleet, _ string) func() {
		var publishers sync.WaitGroup
		for i := range 4 {
			publishers.Go(func() {
				p := publication.Publisher{Editor: process.NewEditor(f.store), HighestNumber: func() uint64 { return 0 }}
				_, _ = p.Publish(context.Background(), publication.Options{Operator: fmt.Sprint("racer", i)})
			})
		}
		return publishers.Wait
	},
	"cold": func(f *fleet, _ string) func() {
		send(f.targets["pay-1"].address, "/standin/crash", nil)
		send(f.targets["write-1"].address, "/standin/crash", nil)
		return func() {}
	},
	"leaving": func(f *fleet, _ string) func() {
		for _, name := range []string{"pay-1", "write-1"} {
			send(f.targets[name].address, "/standin/faults", engine.Faults{Draining: true})
		}
		return func() {}
	},
}

var faultNames = []string{"kill", "freeze", "cut", "slow", "silent", "platformdown", "platformslow", "answerlost", "watchgap", "race", "cold", "leaving"}

// cell is one test case: a fault that is injected at one step of a request.
type cell struct {
	step  string
	fault string
	// second is another fault that is injected shortly after the first, "" for none.
	second string
	// repeated is set if the fault is injected again soon after it has ended.
	repeated bool
	node     string
}

func (c cell) name() string {
	name := c.step + "/" + c.fault
	if c.second != "" {
		name += "+" + c.second
	}
	if c.repeated {
		name += "+again"
	}
	return name + "/" + c.node
}

// cells returns the cells to run: one step for each fault, or all steps, and pairs of faults drawn by the seed; every
// third pair is one fault that is injected twice.
func cells() []cell {
	rng := rand.New(rand.NewPCG(*seed, 3))
	var list []cell
	for i, f := range faultNames {
		for k, s := range steps {
			if *runAll || k == (i+int(*seed))%len(steps) {
				list = append(list, cell{step: s, fault: f, node: nodeNames[rng.IntN(len(nodeNames))]})
			}
		}
	}
	for i := range *pairCount {
		c := cell{
			step:   steps[rng.IntN(len(steps))],
			fault:  faultNames[rng.IntN(len(faultNames))],
			second: faultNames[rng.IntN(len(faultNames))],
			node:   nodeNames[rng.IntN(len(nodeNames))],
		}
		if i%3 == 2 {
			c.second, c.repeated = "", true
		}
		list = append(list, c)
	}
	return list
}

func TestMain(m *testing.M) {
	flag.Parse()
	logging.RedirectGoZero(logging.New(logging.Config{Level: "error", Out: io.Discard}))
	dir, err := os.MkdirTemp("", "matrix")
	if err == nil {
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestMatrix(t *testing.T) {
	list := cells()
	t.Logf("%d of %d cells of one fault, %d of two faults or one twice, seed %d", len(list)-*pairCount, len(steps)*len(faultNames), *pairCount, *seed)
	for _, c := range list {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run takes one request to the cell's step, injects and ends the fault, and checks the replies against the targets' counts.
func (c cell) run(t *testing.T) {
	f := startFleet(t)
	r := &requester{fleet: f, order: "order-1"}
	pool := "pay"
	if c.step == "streaming" {
		pool = "write"
	}
	c.prepare(f)
	var done sync.WaitGroup
	done.Go(func() { r.callUntilFinal(pool) })
	c.waitForStep(t, f, r)
	end := faults[c.fault](f, c.node)
	if c.second != "" {
		time.Sleep(200 * time.Millisecond)
		first, second := end, faults[c.second](f, c.node)
		end = func() { first(); second() }
	}
	time.Sleep(faultTime)
	end()
	if c.repeated {
		time.Sleep(repeatDelay)
		again := faults[c.fault](f, c.node)
		time.Sleep(faultTime)
		again()
	}
	if c.step != "accepted" && c.fault != "slow" && c.second != "slow" && c.fault != "leaving" && c.second != "leaving" {
		f.setTargetFaults(engine.Faults{})
	}
	if c.fault != "platformslow" && c.second != "platformslow" {
		f.setPlatformFaults(store.Faults{})
	}
	done.Wait()
	if c.step == "recorded" {
		r.callUntilFinal(pool)
	}
	r.check(t, pool)
	f.checkRecovery(t)
	for _, p := range []string{"pay", "write"} {
		if got := f.targetCounts(p).OverLimit; got != 0 {
			t.Errorf("pool %s: got %d arrivals above the cold limit, want 0", p, got)
		}
	}
}

// prepare makes the cell's step last long enough to inject the fault during it.
func (c cell) prepare(f *fleet) {
	switch c.step {
	case "accepted", "claimed":
		f.setPlatformFaults(store.Faults{AddedLatency: 150 * time.Millisecond})
	case "queued":
		f.setTargetFaults(engine.Faults{AddedLatency: 1200 * time.Millisecond})
		for i := range 4 {
			filler := &requester{fleet: f, order: fmt.Sprint("filler-", i)}
			go filler.callOnce("pay", nodeNames[i%len(nodeNames)], filler.order)
		}
		time.Sleep(250 * time.Millisecond)
	case "sent":
		f.setTargetFaults(engine.Faults{AddedLatency: 800 * time.Millisecond})
	case "streaming":
		f.setTargetFaults(engine.Faults{AddedLatency: 1600 * time.Millisecond})
	case "answered":
		f.setPlatformFaults(store.Faults{AddedLatency: 100 * time.Millisecond})
	}
}

// waitForStep returns once the request is at the cell's step.
func (c cell) waitForStep(t *testing.T, f *fleet, r *requester) {
	switch c.step {
	case "accepted":
		time.Sleep(5 * time.Millisecond)
	case "claimed":
		f.waitFor(t, "claim", func() bool {
			l, err := f.store.List(context.Background(), "ledger", "")
			return err == nil && bytes.Contains(mustJSON(l), []byte("t/"+r.order))
		})
	case "queued":
		time.Sleep(150 * time.Millisecond)
	case "sent":
		f.waitFor(t, "send", func() bool { return f.targetCounts("pay").Runs > 0 })
	case "streaming":
		f.waitFor(t, "events", func() bool { return r.eventCount() >= 2 })
	case "answered":
		f.waitFor(t, "effect", func() bool { return f.targetCounts("pay").Orders[r.order] > 0 })
	case "recorded":
		f.waitFor(t, "answer", func() bool { return len(r.allReplies()) > 0 })
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// checkRecovery checks that every node answers again without an operator's action.
func (f *fleet) checkRecovery(t *testing.T) {
	t.Helper()
	for _, n := range nodeNames {
		for _, pool := range []string{"pay", "write"} {
			i := 0
			f.waitFor(t, fmt.Sprintf("answer of pipeline %s at node %s after the fault", pool, n), func() bool {
				i++
				r := &requester{fleet: f, order: fmt.Sprintf("after-%s-%s-%d", n, pool, i)}
				return r.callOnce(pool, n, r.order).Outcome == outcome.KindAnswered
			})
		}
	}
}

// requester is a caller that retries at another node while the replies are retryable.
type requester struct {
	fleet   *fleet
	order   string
	mu      sync.Mutex
	replies []callerapi.Response
	events  int
}

func (r *requester) allReplies() []callerapi.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]callerapi.Response(nil), r.replies...)
}

func (r *requester) eventCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

func (r *requester) callUntilFinal(pool string) {
	end := time.Now().Add(retryTime)
	for i := 0; time.Now().Before(end); i++ {
		reply := r.callOnce(pool, nodeNames[i%len(nodeNames)], r.order)
		if isFinal(reply) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func isFinal(r callerapi.Response) bool {
	return r.Outcome == outcome.KindAnswered || r.Outcome == outcome.KindUnknown || (r.Outcome != "" && !r.Retryable)
}

// callOnce makes one call and records the reply, if there is one.
func (r *requester) callOnce(pool, node, key string) callerapi.Response {
	call := callerapi.RunRequest{Team: "t", Input: json.RawMessage(fmt.Sprintf(`{"order":%q}`, r.order))}
	if pool == "pay" {
		call.IdempotencyKey = key
	} else {
		call.Stream = true
	}
	client := &http.Client{Timeout: 8 * time.Second}
	resp, err := client.Post("http://"+r.fleet.node(node).address+"/v1/pipelines/"+pool, "application/json", bytes.NewReader(mustJSON(call)))
	if err != nil {
		return callerapi.Response{}
	}
	defer resp.Body.Close()
	reply, ok := r.readReply(resp)
	if ok {
		r.mu.Lock()
		r.replies = append(r.replies, reply)
		r.mu.Unlock()
	}
	return reply
}

func (r *requester) readReply(resp *http.Response) (callerapi.Response, bool) {
	var reply callerapi.Response
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err := json.NewDecoder(resp.Body).Decode(&reply)
		return reply, err == nil
	}
	scanner := bufio.NewScanner(resp.Body)
	event, events := "", 0
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && event == "part" {
			events++
			r.mu.Lock()
			r.events++
			r.mu.Unlock()
			if want := fmt.Sprintf(`{"order":%q,"token":%d}`, r.order, events); data != want {
				reply.Text = fmt.Sprintf("got event %d %s, want %s", events, data, want)
				return reply, true
			}
		}
		if ok && event == "outcome" {
			err := json.Unmarshal([]byte(data), &reply)
			if reply.Outcome == outcome.KindAnswered && events != int(reply.EventCount) {
				reply.Text = fmt.Sprintf("got %d events, want %d", events, reply.EventCount)
			}
			return reply, err == nil
		}
	}
	return reply, false
}

// check compares every reply with the targets' counts.
func (r *requester) check(t *testing.T, pool string) {
	t.Helper()
	counts := r.fleet.targetCounts(pool)
	runs := counts.Orders[r.order]
	if pool == "pay" && runs > 1 {
		t.Errorf("got %d runs of an order, want at most 1", runs)
	}
	replies := r.allReplies()
	if len(replies) == 0 {
		t.Error("got no replies, want at least 1")
	}
	for i, reply := range replies {
		switch reply.Outcome {
		case outcome.KindAnswered:
			if runs == 0 || !strings.Contains(string(reply.Body), r.order) || reply.Text != "" {
				t.Errorf("reply %d: got answered with %s (%s) after %d runs", i, reply.Body, reply.Text, runs)
			}
		case outcome.KindNotRun:
			for attempt := range counts.Attempts {
				if reply.ID != "" && strings.HasPrefix(attempt, reply.ID+"/") {
					t.Errorf("reply %d: got notrun (%s) although a target got attempt %s", i, reply.Text, attempt)
				}
			}
		case outcome.KindUnknown, outcome.KindFailed:
		default:
			t.Errorf("reply %d: got no outcome: %s", i, reply.Text)
		}
	}
	if t.Failed() {
		t.Logf("replies: %s", mustJSON(replies))
	}
}
