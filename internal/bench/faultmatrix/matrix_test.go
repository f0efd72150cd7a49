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
	seed  = flag.Uint64("matrix.seed", 1, "the seed of the role that each fault meets")
	whole = flag.Bool("matrix.whole", false, "run every cell, not one for each fault")
	pairs = flag.Int("matrix.pairs", 0, "how many cells with two faults to run besides")
)

// hold is how long a fault lasts: longer than a lease.
const (
	hold   = 2600 * time.Millisecond
	soon   = 300 * time.Millisecond
	settle = 14 * time.Second
)

var steps = []string{"accepted", "claimed", "queued", "sent", "streaming", "answered", "recorded"}

// faults bring a mishap about on a fleet; role names the node that it meets. What is returned ends it.
var faults = map[string]func(f *fleet, role string) func(){
	"kill": func(f *fleet, role string) func() {
		m := f.node(role)
		m.kill()
		return func() {
			if f.node(role) == m {
				_ = f.startNode(role)
			}
		}
	},
	"freeze": func(f *fleet, role string) func() {
		f.node(role).signal(syscall.SIGSTOP)
		return func() { f.node(role).signal(syscall.SIGCONT) }
	},
	"cut": func(f *fleet, role string) func() {
		m := f.node(role)
		m.gate.SetMode(faultproxy.Disconnect)
		m.platform.SetMode(faultproxy.Disconnect)
		return func() {
			m.gate.SetMode(faultproxy.Forward)
			m.platform.SetMode(faultproxy.Forward)
		}
	},
	"slow": func(f *fleet, _ string) func() {
		f.targetFaults(engine.Faults{AddedLatency: 900 * time.Millisecond})
		return func() { f.targetFaults(engine.Faults{}) }
	},
	"silent": func(f *fleet, role string) func() {
		f.node(role).gate.StallOpen()
		f.node(role).platform.StallOpen()
		for _, m := range f.targets {
			m.gate.StallOpen()
		}
		return func() {}
	},
	"platformdown": func(f *fleet, _ string) func() {
		f.platformFaults(store.Faults{Down: true, CloseWatches: true})
		return func() { f.platformFaults(store.Faults{}) }
	},
	"platformslow": func(f *fleet, _ string) func() {
		f.platformFaults(store.Faults{AddedLatency: 400 * time.Millisecond})
		return func() { f.platformFaults(store.Faults{}) }
	},
	"answerlost": func(f *fleet, _ string) func() {
		f.platformFaults(store.Faults{LostAnswers: 4})
		return func() { f.platformFaults(store.Faults{}) }
	},
	"watchgap": func(f *fleet, _ string) func() {
		f.platformFaults(store.Faults{ExpireWatch: true, CloseWatches: true})
		return func() { f.platformFaults(store.Faults{}) }
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
		put(f.targets["pay-1"].serve, "/standin/crash", nil)
		put(f.targets["write-1"].serve, "/standin/crash", nil)
		return func() {}
	},
	"leaving": func(f *fleet, _ string) func() {
		for _, name := range []string{"pay-1", "write-1"} {
			put(f.targets[name].serve, "/standin/faults", engine.Faults{Draining: true})
		}
		return func() {}
	},
}

var faultNames = []string{"kill", "freeze", "cut", "slow", "silent", "platformdown", "platformslow", "answerlost", "watchgap", "race", "cold", "leaving"}

type cell struct {
	step  string
	fault string
	// second is another fault that comes a moment after the first, "" for none.
	second string
	// twice tells that the fault comes again soon after it has ended.
	twice bool
	role  string
}

func (c cell) name() string {
	name := c.step + "/" + c.fault
	if c.second != "" {
		name += "+" + c.second
	}
	if c.twice {
		name += "+again"
	}
	return name + "/" + c.role
}

// cells chooses what is run: one step for each fault, or all, and pairs of faults by the seed; every third pair
// is one fault that comes twice.
func cells() []cell {
	random := rand.New(rand.NewPCG(*seed, 3))
	var list []cell
	for i, f := range faultNames {
		for k, s := range steps {
			if *whole || k == (i+int(*seed))%len(steps) {
				list = append(list, cell{step: s, fault: f, role: names[random.IntN(len(names))]})
			}
		}
	}
	for i := range *pairs {
		c := cell{
			step:   steps[random.IntN(len(steps))],
			fault:  faultNames[random.IntN(len(faultNames))],
			second: faultNames[random.IntN(len(faultNames))],
			role:   names[random.IntN(len(names))],
		}
		if i%3 == 2 {
			c.second, c.twice = "", true
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
	t.Logf("%d of %d cells of one fault, %d of two faults or one twice, seed %d", len(list)-*pairs, len(steps)*len(faultNames), *pairs, *seed)
	for _, c := range list {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run takes one request to the cell's step, brings the fault about, ends it, and asks the targets for the truth.
func (c cell) run(t *testing.T) {
	f := startFleet(t)
	r := &requester{fleet: f, order: "order-1"}
	pool := "pay"
	if c.step == "streaming" {
		pool = "write"
	}
	c.prepare(f)
	var done sync.WaitGroup
	done.Go(func() { r.ask(pool) })
	c.reach(t, f, r)
	end := faults[c.fault](f, c.role)
	if c.second != "" {
		time.Sleep(200 * time.Millisecond)
		first, second := end, faults[c.second](f, c.role)
		end = func() { first(); second() }
	}
	time.Sleep(hold)
	end()
	if c.twice {
		time.Sleep(soon)
		again := faults[c.fault](f, c.role)
		time.Sleep(hold)
		again()
	}
	if c.step != "accepted" && c.fault != "slow" && c.second != "slow" && c.fault != "leaving" && c.second != "leaving" {
		f.targetFaults(engine.Faults{})
	}
	if c.fault != "platformslow" && c.second != "platformslow" {
		f.platformFaults(store.Faults{})
	}
	done.Wait()
	if c.step == "recorded" {
		r.ask(pool)
	}
	r.check(t, pool)
	f.heals(t)
	for _, p := range []string{"pay", "write"} {
		if got := f.truth(p).OverLimit; got != 0 {
			t.Errorf("pool %s: got %d arrivals beyond what a cold target bears, want 0", p, got)
		}
	}
}

// prepare makes the cell's step last long enough to be met.
func (c cell) prepare(f *fleet) {
	switch c.step {
	case "accepted", "claimed":
		f.platformFaults(store.Faults{AddedLatency: 150 * time.Millisecond})
	case "queued":
		f.targetFaults(engine.Faults{AddedLatency: 1200 * time.Millisecond})
		for i := range 4 {
			filler := &requester{fleet: f, order: fmt.Sprint("filler-", i)}
			go filler.once("pay", names[i%len(names)], filler.order)
		}
		time.Sleep(250 * time.Millisecond)
	case "sent":
		f.targetFaults(engine.Faults{AddedLatency: 800 * time.Millisecond})
	case "streaming":
		f.targetFaults(engine.Faults{AddedLatency: 1600 * time.Millisecond})
	case "answered":
		f.platformFaults(store.Faults{AddedLatency: 100 * time.Millisecond})
	}
}

// reach returns once the request is at the cell's step.
func (c cell) reach(t *testing.T, f *fleet, r *requester) {
	switch c.step {
	case "accepted":
		time.Sleep(5 * time.Millisecond)
	case "claimed":
		f.await(t, "claim", func() bool {
			l, err := f.store.List(context.Background(), "ledger", "")
			return err == nil && bytes.Contains(mustJSON(l), []byte("t/"+r.order))
		})
	case "queued":
		time.Sleep(150 * time.Millisecond)
	case "sent":
		f.await(t, "send", func() bool { return f.truth("pay").Runs > 0 })
	case "streaming":
		f.await(t, "events", func() bool { return r.eventCount() >= 2 })
	case "answered":
		f.await(t, "effect", func() bool { return f.truth("pay").Orders[r.order] > 0 })
	case "recorded":
		f.await(t, "answer", func() bool { return len(r.all()) > 0 })
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// heals checks that every node answers again without an operator.
func (f *fleet) heals(t *testing.T) {
	t.Helper()
	for _, n := range names {
		for _, pool := range []string{"pay", "write"} {
			i := 0
			f.await(t, fmt.Sprintf("an answer of %s at node %s after the fault", pool, n), func() bool {
				i++
				r := &requester{fleet: f, order: fmt.Sprintf("after-%s-%s-%d", n, pool, i)}
				return r.once(pool, n, r.order).Outcome == outcome.KindAnswered
			})
		}
	}
}

// requester is a caller that asks again, at another node, while it is told that it may.
type requester struct {
	fleet   *fleet
	order   string
	mu      sync.Mutex
	replies []callerapi.Response
	parts   int
}

func (r *requester) all() []callerapi.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]callerapi.Response(nil), r.replies...)
}

func (r *requester) eventCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts
}

func (r *requester) ask(pool string) {
	end := time.Now().Add(settle)
	for i := 0; time.Now().Before(end); i++ {
		reply := r.once(pool, names[i%len(names)], r.order)
		if final(reply) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func final(r callerapi.Response) bool {
	return r.Outcome == outcome.KindAnswered || r.Outcome == outcome.KindUnknown || (r.Outcome != "" && !r.Retryable)
}

// once makes one call and keeps the reply, if one came.
func (r *requester) once(pool, node, key string) callerapi.Response {
	call := callerapi.RunRequest{Team: "t", Input: json.RawMessage(fmt.Sprintf(`{"order":%q}`, r.order))}
	if pool == "pay" {
		call.IdempotencyKey = key
	} else {
		call.Stream = true
	}
	client := &http.Client{Timeout: 8 * time.Second}
	resp, err := client.Post("http://"+r.fleet.node(node).serve+"/v1/pipelines/"+pool, "application/json", bytes.NewReader(mustJSON(call)))
	if err != nil {
		return callerapi.Response{}
	}
	defer resp.Body.Close()
	reply, ok := r.read(resp)
	if ok {
		r.mu.Lock()
		r.replies = append(r.replies, reply)
		r.mu.Unlock()
	}
	return reply
}

func (r *requester) read(resp *http.Response) (callerapi.Response, bool) {
	var reply callerapi.Response
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err := json.NewDecoder(resp.Body).Decode(&reply)
		return reply, err == nil
	}
	lines := bufio.NewScanner(resp.Body)
	event, parts := "", 0
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && event == "part" {
			parts++
			r.mu.Lock()
			r.parts++
			r.mu.Unlock()
			if want := fmt.Sprintf(`{"order":%q,"token":%d}`, r.order, parts); data != want {
				reply.Text = fmt.Sprintf("event %d is %s, not %s", parts, data, want)
				return reply, true
			}
		}
		if ok && event == "outcome" {
			err := json.Unmarshal([]byte(data), &reply)
			if reply.Outcome == outcome.KindAnswered && parts != int(reply.EventCount) {
				reply.Text = fmt.Sprintf("%d events came, not %d", parts, reply.EventCount)
			}
			return reply, err == nil
		}
	}
	return reply, false
}

// check holds every reply against the targets' truth.
func (r *requester) check(t *testing.T, pool string) {
	t.Helper()
	truth := r.fleet.truth(pool)
	runs := truth.Orders[r.order]
	if pool == "pay" && runs > 1 {
		t.Errorf("got %d runs of an order that may run once", runs)
	}
	replies := r.all()
	if len(replies) == 0 {
		t.Error("got no reply at all")
	}
	for i, reply := range replies {
		switch reply.Outcome {
		case outcome.KindAnswered:
			if runs == 0 || !strings.Contains(string(reply.Body), r.order) || reply.Text != "" {
				t.Errorf("reply %d: got an answer %s (%s) with %d runs", i, reply.Body, reply.Text, runs)
			}
		case outcome.KindNotRun:
			for attempt := range truth.Attempts {
				if reply.ID != "" && strings.HasPrefix(attempt, reply.ID+"/") {
					t.Errorf("reply %d: got notrun (%s), and a target got attempt %s", i, reply.Text, attempt)
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
