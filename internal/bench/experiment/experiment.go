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

// Name is the name of an experiment.
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

// Policy selects what routes the requests.
type Policy string

// The policies.
const (
	Product Policy = "ours"
	Naive   Policy = "naive"
)

// Config configures an experiment.
type Config struct {
	Deployment string
	Name       Name
	Policy     Policy
	Nodes      int
	Duration   time.Duration
	Seed       uint64
	// LoadFactor is the offered load relative to the targets' capacity, 0 for the experiment's own.
	LoadFactor float64
}

// StageCost is the cost of one stage.
type StageCost struct {
	Stage         string  `json:"stage"`
	Answered      int     `json:"answered"`
	Attempts      int64   `json:"attempts"`
	TargetSeconds float64 `json:"seconds"`
	// AttemptsPerAnswer and TargetSecondsPerAnswer are the attempts and target seconds per answered request.
	AttemptsPerAnswer      float64 `json:"peranswer"`
	TargetSecondsPerAnswer float64 `json:"secondsperanswer"`
}

// Result is the result of an experiment.
type Result struct {
	Deployment string  `json:"deployment"`
	Experiment Name    `json:"experiment"`
	Policy     Policy  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity"`
	loadgen.Report
	AttainedShare float64     `json:"attainment"`
	StageCosts    []StageCost `json:"cost"`
	// Lost counts answered orders that no target ran, Duplicated orders that ran more than once though their stage is never
	// retried, and FalseRefusals refused orders that ran.
	Lost          int `json:"lost"`
	Duplicated    int `json:"doubled"`
	FalseRefusals int `json:"false"`
	// ColdOverload counts arrivals at cold targets above their cold limit.
	ColdOverload int `json:"over"`
	ColdPeak     int `json:"coldpeak"`
	// Goodput is the rate of requests answered in time while the load exceeded capacity, relative to capacity.
	Goodput float64 `json:"goodput,omitempty"`
}

// Correct reports whether no request was lost, duplicated, falsely refused or answered invalidly.
func (r Result) Correct() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.FalseRefusals == 0 && r.Invalid == 0
}

// definition defines the load and the faults of an experiment.
type definition struct {
	loadFactor float64
	rate       func(at, length time.Duration, capacity float64) float64
	// engineOnly reduces the mix to the pipeline that is limited by its model engines.
	engineOnly bool
	startsCold bool
	// inject injects the experiment's faults.
	inject func(*testbed.Testbed, *objectSet, time.Duration)
}

func flatRate(_, _ time.Duration, capacity float64) float64 { return capacity }

var definitions = map[Name]definition{
	Steady:         {loadFactor: 0.8, rate: flatRate},
	Burst:          {loadFactor: 1, rate: burstRate, engineOnly: true},
	ColdStart:      {loadFactor: 0.3, rate: flatRate, startsCold: true, inject: crashTargets},
	Datacentre:     {loadFactor: 0.5, rate: flatRate, inject: evacuateAndRestore},
	TargetLoss:     {loadFactor: 0.6, rate: flatRate, inject: crashTargets},
	PlatformOutage: {loadFactor: 0.6, rate: flatRate, inject: stopPlatform},
}

const (
	burstFactor   = 3.0
	calmFactor    = 0.5
	timelineSteps = 40
)

// burstRate offers half of capacity, then three times capacity for the middle third, then half again.
func burstRate(at, length time.Duration, capacity float64) float64 {
	if at > length/3 && at < 2*length/3 {
		return burstFactor * capacity
	}
	return calmFactor * capacity
}

// Run runs one experiment on a testbed of its own.
func Run(cfg Config) (Result, error) {
	def, ok := definitions[cfg.Name]
	if !ok {
		return Result{}, merry.Errorf("experiment %q is not known", cfg.Name)
	}
	if cfg.LoadFactor > 0 {
		def.loadFactor = cfg.LoadFactor
	}
	b, err := testbed.Start(testbed.Config{Deployment: cfg.Deployment, Nodes: cfg.Nodes, Seed: cfg.Seed, WarmTargets: !def.startsCold})
	if err != nil {
		return Result{}, merry.Prependf(err, "experiment %s", cfg.Name)
	}
	defer b.Stop()
	mix := Mix(cfg.Deployment, def.engineOnly)
	capacity := Capacity(b, mix)
	objects := newObjectSet(b)
	caller := newCaller(cfg, b, objects)
	if !def.startsCold {
		warmUp(caller, mix, capacity, cfg.Seed)
	}
	before := countPools(b)
	var injection sync.WaitGroup
	if def.inject != nil {
		injection.Go(func() { def.inject(b, objects, cfg.Duration) })
	}
	report := loadgen.Run(loadgen.Config{
		Caller:       caller,
		Mix:          mix,
		Rate:         func(at time.Duration) float64 { return def.rate(at, cfg.Duration, def.loadFactor*capacity) },
		Duration:     cfg.Duration,
		Seed:         cfg.Seed,
		TimelineStep: cfg.Duration / timelineSteps,
		OrderPrefix:  string(cfg.Name),
	})
	injection.Wait()
	r := Result{Deployment: cfg.Deployment, Experiment: cfg.Name, Policy: cfg.Policy, Seed: cfg.Seed, Capacity: capacity, Report: report, AttainedShare: report.Attainment()}
	r.verify(b, before)
	if cfg.Name == Burst {
		r.Goodput = goodput(report, cfg.Duration, capacity)
	}
	return r, nil
}

const (
	warmUpTime       = 4 * time.Second
	warmUpLoadFactor = 0.5
)

// warmUp offers a load first so that the product learns that the targets are warm.
func warmUp(caller loadgen.Caller, mix []loadgen.Kind, capacity float64, seed uint64) {
	loadgen.Run(loadgen.Config{
		Caller:       caller,
		Mix:          mix,
		Rate:         func(time.Duration) float64 { return warmUpLoadFactor * capacity },
		Duration:     warmUpTime,
		Seed:         seed + 1000,
		TimelineStep: warmUpTime,
		OrderPrefix:  "warm",
	})
}

func newCaller(cfg Config, b *testbed.Testbed, objects *objectSet) loadgen.Caller {
	if cfg.Policy == Naive {
		return naive.New(objects.Set)
	}
	streams := map[string]int{}
	for name, p := range b.Set.Pipelines {
		if last := b.Set.Stages[p.Stages[len(p.Stages)-1]]; last.Stream {
			streams[name] = testbed.StreamEvents
		}
	}
	return &loadgen.HTTPCaller{NodeAddresses: b.CallerAddresses, StreamEvents: streams, Client: loadgen.NewClient()}
}

// Mix returns a deployment's kinds of request, with engineOnly only those that run on model engines.
func Mix(deployment string, engineOnly bool) []loadgen.Kind {
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
	if engineOnly {
		return mix[:1]
	}
	return mix
}

// Capacity returns the requests per second of a mix that the warm targets can run.
func Capacity(b *testbed.Testbed, mix []loadgen.Kind) float64 {
	totalWeight := 0.0
	demand := map[string]float64{}
	for _, k := range mix {
		totalWeight += k.Weight
	}
	for _, k := range mix {
		for _, name := range b.Set.Pipelines[k.Pipeline].Stages {
			demand[b.Set.Stages[name].Pool] += k.Weight / totalWeight
		}
	}
	lowest := 0.0
	for name, share := range demand {
		if rate := b.PoolCapacity(name) / share; lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

func goodput(r loadgen.Report, length time.Duration, capacity float64) float64 {
	attained := 0
	for _, p := range r.Timeline {
		at := time.Duration(p.Second * float64(time.Second))
		if at >= length/3 && at < 2*length/3 {
			attained += p.Completed
		}
	}
	return float64(attained) / (capacity * (length / 3).Seconds())
}

// poolCounts holds the counts of each pool before the load.
type poolCounts map[string]struct {
	runs      int64
	busyMs    int64
	overLimit int
}

func countPools(b *testbed.Testbed) poolCounts {
	counts := poolCounts{}
	for name := range b.Set.Pools {
		c := b.TargetCounts(name)
		counts[name] = struct {
			runs      int64
			busyMs    int64
			overLimit int
		}{c.Runs, c.BusyMs, c.OverLimit}
	}
	return counts
}

// verify compares the answers with the targets' own counts.
func (r *Result) verify(b *testbed.Testbed, before poolCounts) {
	for name, s := range b.Set.Stages {
		counts := b.TargetCounts(s.Pool)
		r.addStageCost(b, name, s, counts.Runs-before[s.Pool].runs, counts.BusyMs-before[s.Pool].busyMs)
		r.ColdPeak = max(r.ColdPeak, counts.ColdPeakConcurrency)
		r.ColdOverload += counts.OverLimit - before[s.Pool].overLimit
		if s.RetryPolicy == stage.RetryNever {
			for _, n := range counts.Orders {
				if n > 1 {
					r.Duplicated++
				}
			}
		}
		r.compareOrders(b.Set, name, counts.Orders)
	}
	sortCosts(r.StageCosts)
}

// compareOrders counts answered orders that a stage never ran, and orders reported as not run that it did run.
func (r *Result) compareOrders(set release.Set, stageName string, orders map[string]int) {
	for order, pipeline := range r.AnsweredOrders {
		if hasStage(set, pipeline, stageName) && orders[order] == 0 {
			r.Lost++
		}
	}
	for order, pipeline := range r.NotRunOrders {
		if hasStage(set, pipeline, stageName) && orders[order] > 0 {
			r.FalseRefusals++
		}
	}
}

func hasStage(set release.Set, pipeline, stageName string) bool {
	for _, s := range set.Pipelines[pipeline].Stages {
		if s == stageName {
			return true
		}
	}
	return false
}

func (r *Result) addStageCost(b *testbed.Testbed, name string, _ stage.Stage, attempts, busy int64) {
	c := StageCost{Stage: name, Attempts: attempts, TargetSeconds: float64(busy) / 1000}
	for _, pipeline := range r.AnsweredOrders {
		if hasStage(b.Set, pipeline, name) {
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
