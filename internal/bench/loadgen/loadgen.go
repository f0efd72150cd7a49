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

// Call is one request to send.
type Call struct {
	Pipeline string
	Team     string
	Order    string
	Key      string
	Deadline time.Duration
}

// Answer is the outcome of a call.
type Answer struct {
	Outcome outcome.Kind
	Reason  outcome.Reason
	// Order is the order named in the response.
	Order string
	// Complete is set if the response has exactly the expected events.
	Complete bool
	// TimeToFirstEvent is the time to the first event of a streamed response.
	TimeToFirstEvent time.Duration
}

// Caller makes calls through the product or a baseline policy.
type Caller interface {
	Call(ctx context.Context, c Call) Answer
}

// Kind is one kind of request in the mix.
type Kind struct {
	Pipeline string
	Team     string
	Weight   float64
	Deadline time.Duration
	// Keyed requests carry an idempotency key.
	Keyed bool
}

// Config configures a load.
type Config struct {
	Caller Caller
	Mix    []Kind
	// Rate returns the offered requests per second at a time since the start of the run.
	Rate func(since time.Duration) float64
	// Duration limits the run's time and Count its number of requests; one of them is 0.
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
	// Completed counts the attained requests answered in this step, whenever they were offered.
	Completed int `json:"ended"`
}

// Report is the result of a load.
type Report struct {
	Offered  int `json:"offered"`
	Attained int `json:"attained"`
	// Late counts complete responses after their deadline, Invalid those that were truncated or belong to another request.
	Late     int            `json:"late"`
	Invalid  int            `json:"wrong"`
	Outcomes map[string]int `json:"outcomes"`
	// P50, P95 and P99 are latencies of attained requests and RefusedP95 of refusals, in milliseconds.
	P50        float64 `json:"p50"`
	P95        float64 `json:"p95"`
	P99        float64 `json:"p99"`
	RefusedP95 float64 `json:"refusedp95"`
	Timeline   []Point `json:"timeline"`
	// AnsweredOrders and NotRunOrders map the orders that were answered and that were not run to their pipelines.
	AnsweredOrders map[string]string `json:"-"`
	NotRunOrders   map[string]string `json:"-"`
}

// Attainment returns the share of offered requests that were answered completely and in time.
func (r Report) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

const (
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
	lateAllowance    = 2 * time.Second
	microsPerMilli   = 1000.0
)

type run struct {
	cfg          Config
	started      time.Time
	mu           sync.Mutex
	report       Report
	latencies    *hdrhistogram.Histogram
	refusalTimes *hdrhistogram.Histogram
	timeline     []Point
}

// Run offers the load and returns once every call has ended.
func Run(cfg Config) Report {
	r := &run{
		cfg:          cfg,
		started:      time.Now(),
		report:       Report{Outcomes: map[string]int{}, AnsweredOrders: map[string]string{}, NotRunOrders: map[string]string{}},
		latencies:    hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		refusalTimes: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
	r.offerLoad()
	r.report.P50 = float64(r.latencies.ValueAtQuantile(50)) / microsPerMilli
	r.report.P95 = float64(r.latencies.ValueAtQuantile(95)) / microsPerMilli
	r.report.P99 = float64(r.latencies.ValueAtQuantile(99)) / microsPerMilli
	r.report.RefusedP95 = float64(r.refusalTimes.ValueAtQuantile(95)) / microsPerMilli
	r.report.Timeline = r.timeline
	return r.report
}

// offerLoad draws the arrival times independently of the answers, so that a slow answer never delays the next request.
func (r *run) offerLoad() {
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
		c := r.drawCall(random, n)
		time.Sleep(time.Until(r.started.Add(at)))
		calls.Go(func() { r.makeCall(c, at) })
	}
}

func (r *run) drawCall(random *rand.Rand, n int) Call {
	totalWeight := 0.0
	for _, k := range r.cfg.Mix {
		totalWeight += k.Weight
	}
	x := random.Float64() * totalWeight
	kind := r.cfg.Mix[len(r.cfg.Mix)-1]
	for _, k := range r.cfg.Mix {
		if x < k.Weight {
			kind = k
			break
		}
		x -= k.Weight
	}
	c := Call{Pipeline: kind.Pipeline, Team: kind.Team, Order: fmt.Sprintf("%s-%d-%d", r.cfg.OrderPrefix, r.cfg.Seed, n), Deadline: kind.Deadline}
	if kind.Keyed {
		c.Key = c.Order
	}
	return c
}

func (r *run) makeCall(c Call, at time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+lateAllowance)
	defer cancel()
	began := time.Now()
	a := r.cfg.Caller.Call(ctx, c)
	r.record(c, at, a, time.Since(began))
}

func (r *run) record(c Call, at time.Duration, a Answer, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	point := r.point(at)
	point.Offered++
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
		case latency > c.Deadline:
			r.report.Late++
		default:
			r.report.Attained++
			point.Attained++
			r.point(at+latency).Completed++
			_ = r.latencies.RecordValue(latency.Microseconds())
		}
	case outcome.KindNotRun:
		r.report.NotRunOrders[c.Order] = c.Pipeline
		_ = r.refusalTimes.RecordValue(latency.Microseconds())
	default:
	}
}

func (r *run) point(at time.Duration) *Point {
	i := int(at / r.cfg.TimelineStep)
	for len(r.timeline) <= i {
		r.timeline = append(r.timeline, Point{Second: (time.Duration(len(r.timeline)) * r.cfg.TimelineStep).Seconds()})
	}
	return &r.timeline[i]
}

// orderOf returns the order named in a response.
func orderOf(body json.RawMessage) string {
	var a struct {
		Order string `json:"order"`
	}
	_ = json.Unmarshal(body, &a)
	return a.Order
}
