package main

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/experiment"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/testbed"
)

const demoUsage = `Demo runs three data centres, six nodes and the stand-in targets of the zoo
association in one process, sends requests through them and prints how many were
answered correctly and in time, and what each stage cost. The requests mix pipelines
of several stages, streamed letters and renewals that must run at most once. It
needs no set-up. The exit code is 1 if anything was lost, run twice, mismatched,
truncated or falsely refused.`

func demoCommand() *cobra.Command {
	var requests int
	var seed uint64
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole deployment in one process",
		Long:    demoUsage,
		Example: "  lacewingdrift demo --requests 500",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo(c.OutOrStdout(), requests, seed)
		},
	}
	c.Flags().IntVar(&requests, "requests", 500, "number of requests to send")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	return c
}

const demoNodes = 6

func demo(w io.Writer, requests int, seed uint64) error {
	if requests < 1 {
		return merry.Errorf("requests: must be at least 1, not %d", requests)
	}
	fmt.Fprintln(w, "starting the platform, six nodes and the targets")
	tb, err := testbed.Start(testbed.Config{Deployment: "zoo", Nodes: demoNodes, Seed: seed, WarmTargets: true})
	if err != nil {
		return err
	}
	defer tb.Stop()
	done := &atomic.Int64{}
	stopProgress := showProgress(done, requests)
	r := experiment.RunDemo(tb, requests, seed, done)
	stopProgress()
	printCost(w, r)
	fmt.Fprintf(w, "attained=%d/%d\n", r.Attained, r.Offered)
	if !r.Correct() {
		return merry.Errorf("lost %d, run twice %d, mismatched or truncated %d, falsely refused %d", r.Lost, r.Duplicated, r.Invalid, r.FalseRefusals)
	}
	return nil
}

const progressInterval = 200 * time.Millisecond

// showProgress prints the progress of the demo if stderr is a terminal.
func showProgress(done *atomic.Int64, total int) (stop func()) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	t := time.NewTicker(progressInterval)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-t.C:
				fmt.Fprintf(os.Stderr, "\r%d of %d requests", done.Load(), total)
			}
		}
	}()
	return func() {
		t.Stop()
		close(stopped)
		fmt.Fprintln(os.Stderr)
	}
}

func printCost(w io.Writer, r experiment.Result) {
	fmt.Fprintf(w, "%-10s %9s %9s %16s %20s\n", "stage", "answered", "attempts", "attempts/answer", "target-ms/answer")
	for _, s := range r.StageCosts {
		fmt.Fprintf(w, "%-10s %9d %9d %16.3f %20.1f\n", s.Stage, s.Answered, s.Attempts, s.AttemptsPerAnswer, s.TargetSecondsPerAnswer*1000)
	}
}
