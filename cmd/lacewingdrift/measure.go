package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/chart"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/experiment"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/simulation"
)

const measureUsage = `Measure offers requests at random times, without waiting for earlier ones, and prints
the share that was answered completely and in time, the cost of each stage, the
latencies and the refusals.

Without --nodes-at it runs a whole deployment in this process and one experiment
on it: steady, burst, coldstart, datacentre, targetloss or outage. --policy naive
runs the same load through a router that chooses targets round robin, retries a
fixed number of times and has no limits. With --nodes-at it offers a steady load to
a system that runs elsewhere.

The experiments stageburst, hotkey, retries, slowstage and ownerlost simulate the
decisions on batched stages and model targets in virtual time, with emulated targets
and callers that retry. There --policy alone makes each node fill batch calls for
itself, and naive makes separate calls for each request.`

type measureFlags struct {
	cfg     experiment.Config
	name    string
	policy  string
	nodesAt string
	rate    float64
	output  string
	plot    string
	seeds   int
}

func measureCommand() *cobra.Command {
	var f measureFlags
	c := &cobra.Command{
		Use:   "measure",
		Short: "Run an experiment and print the attainment and its cost",
		Long:  measureUsage,
		Example: `  lacewingdrift measure --experiment datacentre --for 30s --plot datacentre.svg
  lacewingdrift measure --experiment steady --policy naive --seeds 5
  lacewingdrift measure --experiment stageburst --seeds 12 --for 30s
  lacewingdrift measure --nodes-at 127.0.0.1:8000,127.0.0.1:8001 --rate 50`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f.cfg.Name, f.cfg.Policy = experiment.Name(f.name), experiment.Policy(f.policy)
			return f.run(c.OutOrStdout())
		},
	}
	s := c.Flags()
	s.StringVar(&f.cfg.Deployment, "deployment", "zoo", "deployment to run, zoo or driveway")
	s.StringVar(&f.name, "experiment", "steady", "steady, burst, coldstart, datacentre, targetloss or outage; stageburst, hotkey, retries, slowstage or ownerlost")
	s.StringVar(&f.policy, "policy", "ours", "ours or naive; for stage experiments also alone")
	s.IntVar(&f.cfg.Nodes, "nodes", 6, "number of nodes to run")
	s.DurationVar(&f.cfg.Duration, "for", 20*time.Second, "how long to offer requests")
	s.Uint64Var(&f.cfg.Seed, "seed", 1, "seed of the random choices")
	s.IntVar(&f.seeds, "seeds", 1, "number of runs, each with the next seed")
	s.Float64Var(&f.cfg.LoadFactor, "load", 0, "offered load as a part of capacity; 0 for the experiment's default")
	s.StringVar(&f.nodesAt, "nodes-at", "", "addresses of the callers' API of a system that runs elsewhere")
	s.Float64Var(&f.rate, "rate", 20, "requests per second, with --nodes-at")
	s.StringVar(&f.output, "output", "text", "output format, text or json")
	s.StringVar(&f.plot, "plot", "", "draw the timeline to an .svg or .png file")
	return c
}

func (f *measureFlags) run(w io.Writer) error {
	if s, ok := simulation.ScenarioFor(simulation.Name(f.name), f.cfg.Duration); ok {
		if f.cfg.Duration <= 0 {
			return merry.New("for: must be above 0")
		}
		if !slices.Contains(simulation.Policies, simulation.Policy(f.policy)) {
			return merry.Errorf("policy: must be one of %v, not %q", simulation.Policies, f.policy)
		}
		return f.runSimulations(w, s)
	}
	if f.policy != string(experiment.Product) && f.policy != string(experiment.Naive) {
		return merry.Errorf("policy: must be ours or naive, not %q", f.policy)
	}
	if f.cfg.Nodes < 1 || f.cfg.Duration <= 0 {
		return merry.New("nodes and for: must be above 0")
	}
	for range f.seeds {
		r, err := f.runOnce()
		if err != nil {
			return err
		}
		if err := f.printRun(w, r); err != nil {
			return err
		}
		f.cfg.Seed++
	}
	return nil
}

func (f *measureFlags) runOnce() (experiment.Result, error) {
	if f.nodesAt == "" {
		return experiment.Run(f.cfg)
	}
	nodes := strings.Split(f.nodesAt, ",")
	return experiment.RunRemote(f.cfg, func() []string { return nodes }, f.rate), nil
}

func (f *measureFlags) printRun(w io.Writer, r experiment.Result) error {
	if f.plot != "" {
		if err := chart.Draw(f.plot, fmt.Sprintf("%s, %s, %s", r.Deployment, r.Experiment, r.Policy), r.Timeline); err != nil {
			return err
		}
	}
	if f.output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	printResult(w, r)
	return nil
}

func printResult(w io.Writer, r experiment.Result) {
	fmt.Fprintf(w, "deployment=%s experiment=%s policy=%s seed=%d capacity=%.0f/s\n", r.Deployment, r.Experiment, r.Policy, r.Seed, r.Capacity)
	fmt.Fprintf(w, "attainment=%.4f attained=%d offered=%d late=%d wrong=%d lost=%d doubled=%d false=%d over=%d\n",
		r.AttainedShare, r.Attained, r.Offered, r.Late, r.Invalid, r.Lost, r.Duplicated, r.FalseRefusals, r.ColdOverload)
	if r.Goodput > 0 {
		fmt.Fprintf(w, "goodput=%.3f of capacity while overloaded\n", r.Goodput)
	}
	fmt.Fprintf(w, "latency p50=%.1fms p95=%.1fms p99=%.1fms, refusals p95=%.1fms\n", r.P50, r.P95, r.P99, r.RefusedP95)
	fmt.Fprintf(w, "outcomes %v\n", r.Outcomes)
	printCost(w, r)
	printTimeline(w, r.Timeline)
	fmt.Fprintln(w)
}

// printTimeline prints one character for each step: the attained share in tenths.
func printTimeline(w io.Writer, points []loadgen.Point) {
	const marks = "0123456789#"
	line := make([]byte, 0, len(points))
	for _, p := range points {
		if p.Offered == 0 {
			line = append(line, '.')
			continue
		}
		line = append(line, marks[p.Attained*(len(marks)-1)/p.Offered])
	}
	fmt.Fprintf(w, "timeline [%s] tenths attained, # is all\n", line)
}
