package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// Call is one request to be made.
type Call struct {
	Pipeline string
	Team     string
	Order    string
	Key      string
	Deadline time.Duration
}

// Answer is what came of a call.
type Answer struct {
	Outcome outcome.Kind
	Reason  outcome.Reason
	// Order is the order that the answer speaks of.
	Order string
	// Complete tells that the answer has every event that it should have.
	Complete bool
	// TimeToFirstEvent is the time to the first event of a streamed answer.
	TimeToFirstEvent time.Duration
}

// Caller makes calls: through the product, or by another policy.
type Caller interface {
	Call(ctx context.Context, c Call) Answer
}

// Kind is one kind of request in the mix.
type Kind struct {
	Pipeline string
	Team     string
	Weight   float64
	Deadline time.Duration
	// Keyed requests carry a key of their own.
	Keyed bool
}

// Config says what is offered.
type Config struct {
	Caller Caller
	Mix    []Kind
	// Rate is how many requests a second are offered at a moment of the run.
	Rate func(since time.Duration) float64
	// Duration bounds the run in time and Count in requests; one of them is 0.
	Duration     time.Duration
	Count        int
	Seed         uint64
	TimelineStep time.Duration
	OrderPrefix  string
}

// Point is one step of the timeline.
type Point struct {
	Second   float64 `json:"second"`
	Offered  int     `json:"offered"`
	Attained int     `json:"attained"`
	// Completed counts the attained requests whose answer came in this step, whenever they were offered.
	Completed int `json:"ended"`
}

// Report is what came of a load.
type Report struct {
	Offered  int `json:"offered"`
	Attained int `json:"attained"`
	// Late answers came whole but after their deadline, Wrong ones were cut or another request's.
	Late     int            `json:"late"`
	Invalid  int            `json:"wrong"`
	Outcomes map[string]int `json:"outcomes"`
	// Latencies of attained requests and of refusals, in milliseconds.
	P50        float64 `json:"p50"`
	P95        float64 `json:"p95"`
	P99        float64 `json:"p99"`
	RefusedP95 float64 `json:"refusedp95"`
	Timeline   []Point `json:"timeline"`
	// AnsweredOrders holds the orders that were answered, Unsure those whose end is not known.
	AnsweredOrders map[string]string `json:"-"`
	NotRunOrders   map[string]string `json:"-"`
}

// Attainment is the share of offered requests that were answered whole and in time.
func (r Report) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

const (
	maxLatency  = 60_000_000
	histDigits  = 3
	overtime    = 2 * time.Second
	millisecond = 1000.0
)

type run struct {
	cfg     Config
	started time.Time
	mu      sync.Mutex
	report  Report
	taken   *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
	steps   []Point
}

// Run offers the load and returns once every call has ended.
func Run(cfg Config) Report {
	r := &run{
		cfg:     cfg,
		started: time.Now(),
		report:  Report{Outcomes: map[string]int{}, AnsweredOrders: map[string]string{}, NotRunOrders: map[string]string{}},
		taken:   hdrhistogram.New(1, maxLatency, histDigits),
		refused: hdrhistogram.New(1, maxLatency, histDigits),
	}
	r.offer()
	r.report.P50 = float64(r.taken.ValueAtQuantile(50)) / millisecond
	r.report.P95 = float64(r.taken.ValueAtQuantile(95)) / millisecond
	r.report.P99 = float64(r.taken.ValueAtQuantile(99)) / millisecond
	r.report.RefusedP95 = float64(r.refused.ValueAtQuantile(95)) / millisecond
	r.report.Timeline = r.steps
	return r.report
}

// offer draws the arrival times, so that a slow answer never holds the next request back.
func (r *run) offer() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 7))
	var calls sync.WaitGroup
	defer calls.Wait()
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := r.cfg.Rate(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if (r.cfg.Duration > 0 && at > r.cfg.Duration) || (r.cfg.Count > 0 && n == r.cfg.Count) {
			return
		}
		c := r.draw(random, n)
		time.Sleep(time.Until(r.started.Add(at)))
		calls.Go(func() { r.call(c, at) })
	}
}

func (r *run) draw(random *rand.Rand, n int) Call {
	sum := 0.0
	for _, s := range r.cfg.Mix {
		sum += s.Weight
	}
	x := random.Float64() * sum
	pick := r.cfg.Mix[len(r.cfg.Mix)-1]
	for _, s := range r.cfg.Mix {
		if x < s.Weight {
			pick = s
			break
		}
		x -= s.Weight
	}
	c := Call{Pipeline: pick.Pipeline, Team: pick.Team, Order: fmt.Sprintf("%s-%d-%d", r.cfg.OrderPrefix, r.cfg.Seed, n), Deadline: pick.Deadline}
	if pick.Keyed {
		c.Key = c.Order
	}
	return c
}

func (r *run) call(c Call, at time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+overtime)
	defer cancel()
	began := time.Now()
	a := r.cfg.Caller.Call(ctx, c)
	r.judge(c, at, a, time.Since(began))
}

func (r *run) judge(c Call, at time.Duration, a Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := r.step(at)
	step.Offered++
	r.report.Offered++
	name := string(a.Outcome)
	if a.Reason != "" {
		name += "/" + string(a.Reason)
	}
	r.report.Outcomes[name]++
	switch a.Outcome {
	case outcome.KindAnswered:
		r.report.AnsweredOrders[c.Order] = c.Pipeline
		switch {
		case a.Order != c.Order || !a.Complete:
			r.report.Invalid++
		case took > c.Deadline:
			r.report.Late++
		default:
			r.report.Attained++
			step.Attained++
			r.step(at+took).Completed++
			_ = r.taken.RecordValue(took.Microseconds())
		}
	case outcome.KindNotRun:
		r.report.NotRunOrders[c.Order] = c.Pipeline
		_ = r.refused.RecordValue(took.Microseconds())
	default:
	}
}

func (r *run) step(at time.Duration) *Point {
	i := int(at / r.cfg.TimelineStep)
	for len(r.steps) <= i {
		r.steps = append(r.steps, Point{Second: (time.Duration(len(r.steps)) * r.cfg.TimelineStep).Seconds()})
	}
	return &r.steps[i]
}

// order reads the order that an answer speaks of.
func order(body json.RawMessage) string {
	var a struct {
		Order string `json:"order"`
	}
	_ = json.Unmarshal(body, &a)
	return a.Order
}
