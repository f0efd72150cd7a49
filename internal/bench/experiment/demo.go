package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/testbed"
)

const (
	demoLoadFactor   = 0.5
	demoTimelineStep = time.Second
)

// RunDemo sends the given number of requests through a testbed at half its capacity; done counts them as they end.
func RunDemo(b *testbed.Testbed, requests int, seed uint64, done *atomic.Int64) Result {
	mix := Mix("zoo", false)
	capacity := Capacity(b, mix)
	objects := newObjectSet(b)
	caller := countingCaller{newCaller(Config{Policy: Product}, b, objects), done}
	before := countPools(b)
	report := loadgen.Run(loadgen.Config{
		Caller:       caller,
		Mix:          mix,
		Rate:         func(time.Duration) float64 { return demoLoadFactor * capacity },
		Count:        requests,
		Seed:         seed,
		TimelineStep: demoTimelineStep,
		OrderPrefix:  "demo",
	})
	r := Result{Deployment: "zoo", Experiment: "demo", Policy: Product, Seed: seed, Capacity: capacity, Report: report, AttainedShare: report.Attainment()}
	r.verify(b, before)
	return r
}

// countingCaller counts the calls that have ended.
type countingCaller struct {
	loadgen.Caller
	ended *atomic.Int64
}

// Call makes the call and counts it.
func (c countingCaller) Call(ctx context.Context, call loadgen.Call) loadgen.Answer {
	defer c.ended.Add(1)
	return c.Caller.Call(ctx, call)
}

// RunRemote offers a steady load to a system in other processes, where the targets' counts are not available.
func RunRemote(cfg Config, nodes func() []string, rate float64) Result {
	streams := map[string]int{"letter": testbed.StreamEvents, "dossier": testbed.StreamEvents}
	report := loadgen.Run(loadgen.Config{
		Caller:       &loadgen.HTTPCaller{NodeAddresses: nodes, StreamEvents: streams, Client: loadgen.NewClient()},
		Mix:          Mix(cfg.Deployment, false),
		Rate:         func(time.Duration) float64 { return rate },
		Duration:     cfg.Duration,
		Seed:         cfg.Seed,
		TimelineStep: cfg.Duration / timelineSteps,
		OrderPrefix:  "elsewhere",
	})
	return Result{Deployment: cfg.Deployment, Experiment: Steady, Policy: cfg.Policy, Seed: cfg.Seed, Report: report, AttainedShare: report.Attainment()}
}
