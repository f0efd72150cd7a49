package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/testbed"
)

const (
	demoLoad = 0.5
	demoStep = time.Second
)

// RunDemo sends about so many requests through a bed at half of its capacity; done counts them as they end.
func RunDemo(b *testbed.Testbed, requests int, seed uint64, done *atomic.Int64) Result {
	mix := Mix("zoo", false)
	full := Capacity(b, mix)
	c := newControl(b)
	who := counted{caller(Config{Policy: Product}, b, c), done}
	base := snapshot(b)
	report := loadgen.Run(loadgen.Config{
		Caller:       who,
		Mix:          mix,
		Rate:         func(time.Duration) float64 { return demoLoad * full },
		Count:        requests,
		Seed:         seed,
		TimelineStep: demoStep,
		OrderPrefix:  "demo",
	})
	r := Result{Deployment: "zoo", Experiment: "demo", Policy: Product, Seed: seed, Capacity: full, Report: report, AttainedShare: report.Attainment()}
	r.judge(b, base)
	return r
}

// counted counts the calls that have ended.
type counted struct {
	loadgen.Caller
	done *atomic.Int64
}

// Call makes the call and counts it.
func (c counted) Call(ctx context.Context, call loadgen.Call) loadgen.Answer {
	defer c.done.Add(1)
	return c.Caller.Call(ctx, call)
}

// RunRemote offers a steady load to a system that runs elsewhere; what its targets ran is not known here.
func RunRemote(cfg Config, nodes func() []string, rate float64) Result {
	streams := map[string]int{"letter": testbed.StreamEvents, "dossier": testbed.StreamEvents}
	report := loadgen.Run(loadgen.Config{
		Caller:       &loadgen.HTTPCaller{NodeAddresses: nodes, StreamEvents: streams, Client: loadgen.NewClient()},
		Mix:          Mix(cfg.Deployment, false),
		Rate:         func(time.Duration) float64 { return rate },
		Duration:     cfg.Duration,
		Seed:         cfg.Seed,
		TimelineStep: cfg.Duration / timelines,
		OrderPrefix:  "elsewhere",
	})
	return Result{Deployment: cfg.Deployment, Experiment: Steady, Policy: cfg.Policy, Seed: cfg.Seed, Report: report, AttainedShare: report.Attainment()}
}
