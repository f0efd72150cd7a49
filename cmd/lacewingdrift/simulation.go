package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/chart"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/simulation"
)

// runSimulations simulates an experiment on emulated stage and model targets, once for each seed.
func (f *measureFlags) runSimulations(w io.Writer, s simulation.Scenario) error {
	for range f.seeds {
		r := simulation.Run(simulation.Config{Deployment: simulation.BatchingDeployment(), Scenario: s, Policy: simulation.Policy(f.policy), Seed: f.cfg.Seed})
		if f.plot != "" {
			if err := chart.Draw(f.plot, fmt.Sprintf("batching, %s, %s", f.name, f.policy), r.Timeline); err != nil {
				return err
			}
		}
		if f.output == "json" {
			if err := json.NewEncoder(w).Encode(r); err != nil {
				return err
			}
		} else {
			printSimulation(w, f.name, r)
		}
		f.cfg.Seed++
	}
	return nil
}

func printSimulation(w io.Writer, name string, r simulation.Report) {
	fmt.Fprintf(w, "experiment=%s policy=%s seed=%d\n", name, r.Policy, r.Seed)
	fmt.Fprintf(w, "credit=%.4f fill=%.2f crowded=%.2f stage seconds=%.1f wasted=%.1f (%.1f%%) crossed=%dMB read again=%d tokens\n",
		r.Credit, r.Fill, r.BackloggedFill, r.StageSeconds, r.WastedSeconds, 100*r.WastedSeconds/max(r.StageSeconds, 1), r.CrossDatacentreBytes>>20, r.RereadTokens)
	for _, s := range r.Kinds {
		fmt.Fprintf(w, "%-8s offered=%d aim=%d (%.3f) late=%d failed=%d p50=%s p95=%s p99=%s\n",
			s.Kind, s.Offered, s.OnTime, float64(s.OnTime)/float64(max(s.Offered, 1)), s.Late, s.Failed,
			s.P50.Round(time.Millisecond), s.P95.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	}
	fmt.Fprintf(w, "refused %v p95=%s, failed %v\n", r.Refused, r.RefusedP95.Round(time.Millisecond), r.Failures)
	printTimeline(w, r.Timeline)
	fmt.Fprintln(w)
}
