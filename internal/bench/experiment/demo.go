package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/bed"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/load"
)

const (
	demoLoad = 0.5
	demoStep = time.Second
)

// Demo sends about so many requests through a bed at half of its capacity; done counts them as they end.
func Demo(b *bed.Bed, requests int, seed uint64, done *atomic.Int64) Result {
	mix := Mix("zoo", false)
	full := Capacity(b, mix)
	c := newControl(b)
	who := counted{caller(Config{Policy: Ours}, b, c), done}
	base := snapshot(b)
	report := load.Run(load.Config{
		Caller: who,
		Mix:    mix,
		Rate:   func(time.Duration) float64 { return demoLoad * full },
		Count:  requests,
		Seed:   seed,
		Step:   demoStep,
		Label:  "demo",
	})
	r := Result{Deployment: "zoo", Experiment: "demo", Policy: Ours, Seed: seed, Capacity: full, Report: report, Share: report.Attainment()}
	r.judge(b, base)
	return r
}

// counted counts the calls that have ended.
type counted struct {
	load.Caller
	done *atomic.Int64
}

// Call makes the call and counts it.
func (c counted) Call(ctx context.Context, call load.Call) load.Answer {
	defer c.done.Add(1)
	return c.Caller.Call(ctx, call)
}

// Elsewhere offers a steady load to a system that runs elsewhere; what its targets ran is not known here.
func Elsewhere(cfg Config, nodes func() []string, rate float64) Result {
	streams := map[string]int{"letter": bed.StreamEvents, "dossier": bed.StreamEvents}
	report := load.Run(load.Config{
		Caller: &load.HTTP{Nodes: nodes, Streams: streams, Client: load.NewClient()},
		Mix:    Mix(cfg.Deployment, false),
		Rate:   func(time.Duration) float64 { return rate },
		For:    cfg.For,
		Seed:   cfg.Seed,
		Step:   cfg.For / timelines,
		Label:  "elsewhere",
	})
	return Result{Deployment: cfg.Deployment, Experiment: Steady, Policy: cfg.Policy, Seed: cfg.Seed, Report: report, Share: report.Attainment()}
}
