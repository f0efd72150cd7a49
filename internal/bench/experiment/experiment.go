package experiment

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/naive"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/testbed"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
)

// Name names an experiment.
type Name string

// The experiments.
const (
	Steady         Name = "steady"
	Burst          Name = "burst"
	ColdStart      Name = "coldstart"
	Datacentre     Name = "datacentre"
	TargetLoss     Name = "targetloss"
	PlatformOutage Name = "outage"
)

// Names lists the experiments.
var Names = []Name{Steady, Burst, ColdStart, Datacentre, TargetLoss, PlatformOutage}

// Policy says who routes.
type Policy string

// The policies.
const (
	Product Policy = "ours"
	Naive   Policy = "naive"
)

// Config says what is run.
type Config struct {
	Deployment string
	Name       Name
	Policy     Policy
	Nodes      int
	Duration   time.Duration
	Seed       uint64
	// LoadFactor is the offered part of what the targets can do, 0 for the experiment's own.
	LoadFactor float64
}

// StageCost is what one stage cost.
type StageCost struct {
	Stage         string  `json:"stage"`
	Answered      int     `json:"answered"`
	Attempts      int64   `json:"attempts"`
	TargetSeconds float64 `json:"seconds"`
	// AttemptsPerAnswer is attempts and SecondsPerAnswer target seconds for each answered request.
	AttemptsPerAnswer      float64 `json:"peranswer"`
	TargetSecondsPerAnswer float64 `json:"secondsperanswer"`
}

// Result is what came of an experiment.
type Result struct {
	Deployment string  `json:"deployment"`
	Experiment Name    `json:"experiment"`
	Policy     Policy  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity"`
	loadgen.Report
	AttainedShare float64     `json:"attainment"`
	StageCosts    []StageCost `json:"cost"`
	// Lost counts answered orders that no target ran, Doubled those run twice that may not be, False refusals that ran.
	Lost          int `json:"lost"`
	Duplicated    int `json:"doubled"`
	FalseRefusals int `json:"false"`
	// ColdOverload counts arrivals at cold targets beyond what they bear.
	ColdOverload int `json:"over"`
	ColdPeak     int `json:"coldpeak"`
	// Goodput is the rate of answers in time while the load was beyond capacity, as a part of capacity.
	Goodput float64 `json:"goodput,omitempty"`
}

// Correct tells whether nothing was lost, doubled, crossed or falsely refused.
func (r Result) Correct() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.FalseRefusals == 0 && r.Invalid == 0
}

// plan is an experiment's own choices.
type plan struct {
	load float64
	rate func(at, whole time.Duration, full float64) float64
	// only is set if the mix is the pipeline that is limited by its targets.
	only bool
	cold bool
	// act brings the mishaps about.
	act func(*testbed.Testbed, *control, time.Duration)
}

func flat(_, _ time.Duration, full float64) float64 { return full }

var plans = map[Name]plan{
	Steady:         {load: 0.8, rate: flat},
	Burst:          {load: 1, rate: burst, only: true},
	ColdStart:      {load: 0.3, rate: flat, cold: true, act: crashSome},
	Datacentre:     {load: 0.5, rate: flat, act: leaveAndReturn},
	TargetLoss:     {load: 0.6, rate: flat, act: crashSome},
	PlatformOutage: {load: 0.6, rate: flat, act: platformOut},
}

const (
	burstFactor = 3.0
	calmFactor  = 0.5
	timelines   = 40
)

// burst is half of capacity, then three times capacity for the middle third, then half again.
func burst(at, whole time.Duration, full float64) float64 {
	if at > whole/3 && at < 2*whole/3 {
		return burstFactor * full
	}
	return calmFactor * full
}

// Run runs one experiment on a bed of its own.
func Run(cfg Config) (Result, error) {
	p, ok := plans[cfg.Name]
	if !ok {
		return Result{}, merry.Errorf("experiment %q is not known", cfg.Name)
	}
	if cfg.LoadFactor > 0 {
		p.load = cfg.LoadFactor
	}
	b, err := testbed.Start(testbed.Config{Deployment: cfg.Deployment, Nodes: cfg.Nodes, Seed: cfg.Seed, WarmTargets: !p.cold})
	if err != nil {
		return Result{}, merry.Prependf(err, "experiment %s", cfg.Name)
	}
	defer b.Stop()
	mix := Mix(cfg.Deployment, p.only)
	full := Capacity(b, mix)
	c := newControl(b)
	who := caller(cfg, b, c)
	if !p.cold {
		warmUp(who, mix, full, cfg.Seed)
	}
	base := snapshot(b)
	var acting sync.WaitGroup
	if p.act != nil {
		acting.Go(func() { p.act(b, c, cfg.Duration) })
	}
	report := loadgen.Run(loadgen.Config{
		Caller:       who,
		Mix:          mix,
		Rate:         func(at time.Duration) float64 { return p.rate(at, cfg.Duration, p.load*full) },
		Duration:     cfg.Duration,
		Seed:         cfg.Seed,
		TimelineStep: cfg.Duration / timelines,
		OrderPrefix:  string(cfg.Name),
	})
	acting.Wait()
	r := Result{Deployment: cfg.Deployment, Experiment: cfg.Name, Policy: cfg.Policy, Seed: cfg.Seed, Capacity: full, Report: report, AttainedShare: report.Attainment()}
	r.judge(b, base)
	if cfg.Name == Burst {
		r.Goodput = goodput(report, cfg.Duration, full)
	}
	return r, nil
}

const (
	warmFor  = 4 * time.Second
	warmLoad = 0.5
)

// warmUp lets the product find out that the targets are warm.
func warmUp(who loadgen.Caller, mix []loadgen.Kind, full float64, seed uint64) {
	loadgen.Run(loadgen.Config{
		Caller:       who,
		Mix:          mix,
		Rate:         func(time.Duration) float64 { return warmLoad * full },
		Duration:     warmFor,
		Seed:         seed + 1000,
		TimelineStep: warmFor,
		OrderPrefix:  "warm",
	})
}

func caller(cfg Config, b *testbed.Testbed, c *control) loadgen.Caller {
	if cfg.Policy == Naive {
		return naive.New(c.Set)
	}
	streams := map[string]int{}
	for name, p := range b.Set.Pipelines {
		if last := b.Set.Stages[p.Stages[len(p.Stages)-1]]; last.Stream {
			streams[name] = testbed.StreamEvents
		}
	}
	return &loadgen.HTTPCaller{NodeAddresses: b.CallerAddresses, StreamEvents: streams, Client: loadgen.NewClient()}
}

// Mix is a deployment's kinds of request; only keeps those that run on model engines.
func Mix(deployment string, only bool) []loadgen.Kind {
	mix := map[string][]loadgen.Kind{
		"zoo": {
			{Pipeline: "letter", Team: "keepers", Weight: 30, Deadline: 9 * time.Second},
			{Pipeline: "renewal", Team: "members", Weight: 15, Deadline: 5 * time.Second, Keyed: true},
			{Pipeline: "portal", Team: "families", Weight: 30, Deadline: 3 * time.Second},
			{Pipeline: "gate", Team: "gates", Weight: 25, Deadline: 2 * time.Second},
		},
		"driveway": {
			{Pipeline: "dossier", Team: "surveyors", Weight: 30, Deadline: 9 * time.Second},
			{Pipeline: "deposit", Team: "franchisees", Weight: 15, Deadline: 5 * time.Second, Keyed: true},
			{Pipeline: "portal", Team: "customers", Weight: 30, Deadline: 3 * time.Second},
			{Pipeline: "schedule", Team: "office", Weight: 25, Deadline: 3 * time.Second},
		},
	}[deployment]
	if only {
		return mix[:1]
	}
	return mix
}

// Capacity is how many requests of a mix a second the warm targets can do.
func Capacity(b *testbed.Testbed, mix []loadgen.Kind) float64 {
	sum := 0.0
	need := map[string]float64{}
	for _, s := range mix {
		sum += s.Weight
	}
	for _, s := range mix {
		for _, name := range b.Set.Pipelines[s.Pipeline].Stages {
			need[b.Set.Stages[name].Pool] += s.Weight / sum
		}
	}
	least := 0.0
	for name, part := range need {
		if rate := b.PoolCapacity(name) / part; least == 0 || rate < least {
			least = rate
		}
	}
	return least
}

func goodput(r loadgen.Report, whole time.Duration, full float64) float64 {
	attained := 0
	for _, p := range r.Timeline {
		at := time.Duration(p.Second * float64(time.Second))
		if at >= whole/3 && at < 2*whole/3 {
			attained += p.Completed
		}
	}
	return float64(attained) / (full * (whole / 3).Seconds())
}

// runs is what each pool had run before the load.
type runs map[string]struct {
	runs int64
	busy int64
	over int
}

func snapshot(b *testbed.Testbed) runs {
	s := runs{}
	for name := range b.Set.Pools {
		t := b.TargetCounts(name)
		s[name] = struct {
			runs int64
			busy int64
			over int
		}{t.Runs, t.BusyMs, t.OverLimit}
	}
	return s
}

// judge holds the answers against the truth of the targets.
func (r *Result) judge(b *testbed.Testbed, base runs) {
	for name, s := range b.Set.Stages {
		t := b.TargetCounts(s.Pool)
		r.cost(b, name, s, t.Runs-base[s.Pool].runs, t.BusyMs-base[s.Pool].busy)
		r.ColdPeak = max(r.ColdPeak, t.ColdPeakConcurrency)
		r.ColdOverload += t.OverLimit - base[s.Pool].over
		if s.RetryPolicy == stage.RetryNever {
			for _, n := range t.Orders {
				if n > 1 {
					r.Duplicated++
				}
			}
		}
		r.compare(b.Set, name, t.Orders)
	}
	sortCost(r.StageCosts)
}

// compare counts answered orders that a stage never ran, and refused ones that it did.
func (r *Result) compare(set release.Set, stageName string, orders map[string]int) {
	for order, pipeline := range r.AnsweredOrders {
		if has(set, pipeline, stageName) && orders[order] == 0 {
			r.Lost++
		}
	}
	for order, pipeline := range r.NotRunOrders {
		if has(set, pipeline, stageName) && orders[order] > 0 {
			r.FalseRefusals++
		}
	}
}

func has(set release.Set, pipeline, stageName string) bool {
	for _, s := range set.Pipelines[pipeline].Stages {
		if s == stageName {
			return true
		}
	}
	return false
}

func (r *Result) cost(b *testbed.Testbed, name string, _ stage.Stage, attempts, busy int64) {
	c := StageCost{Stage: name, Attempts: attempts, TargetSeconds: float64(busy) / 1000}
	for _, pipeline := range r.AnsweredOrders {
		if has(b.Set, pipeline, name) {
			c.Answered++
		}
	}
	if c.Answered > 0 {
		c.AttemptsPerAnswer = float64(c.Attempts) / float64(c.Answered)
		c.TargetSecondsPerAnswer = c.TargetSeconds / float64(c.Answered)
	}
	if c.Attempts > 0 {
		r.StageCosts = append(r.StageCosts, c)
	}
}
