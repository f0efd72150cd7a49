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
association in this one process, sends requests through them and prints what was
attained and what each stage cost. Pipelines of several stages, streamed letters
and renewals that may run only once are mixed. It needs no set-up. The exit code
is 1 if anything was lost, doubled or crossed.`

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
	c.Flags().IntVar(&requests, "requests", 500, "how many requests to send")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the random choices")
	return c
}

const demoNodes = 6

func demo(w io.Writer, requests int, seed uint64) error {
	if requests < 1 {
		return merry.Errorf("requests: must be at least 1, not %d", requests)
	}
	fmt.Fprintln(w, "starting the platform, six nodes and the targets")
	b, err := testbed.Start(testbed.Config{Deployment: "zoo", Nodes: demoNodes, Seed: seed, WarmTargets: true})
	if err != nil {
		return err
	}
	defer b.Stop()
	done := &atomic.Int64{}
	stop := progress(done, requests)
	r := experiment.RunDemo(b, requests, seed, done)
	stop()
	printCost(w, r)
	fmt.Fprintf(w, "attained=%d/%d\n", r.Attained, r.Offered)
	if !r.Correct() {
		return merry.Errorf("lost %d, doubled %d, crossed or cut %d, falsely refused %d", r.Lost, r.Duplicated, r.Invalid, r.FalseRefusals)
	}
	return nil
}

const progressEvery = 200 * time.Millisecond

// progress shows how far the demo is, if there is a terminal.
func progress(done *atomic.Int64, whole int) (stop func()) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	t := time.NewTicker(progressEvery)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-t.C:
				fmt.Fprintf(os.Stderr, "\r%d of %d requests", done.Load(), whole)
			}
		}
	}()
	return func() {
		t.Stop()
		close(ended)
		fmt.Fprintln(os.Stderr)
	}
}

func printCost(w io.Writer, r experiment.Result) {
	fmt.Fprintf(w, "%-10s %9s %9s %16s %20s\n", "stage", "answered", "attempts", "attempts/answer", "target-ms/answer")
	for _, s := range r.StageCosts {
		fmt.Fprintf(w, "%-10s %9d %9d %16.3f %20.1f\n", s.Stage, s.Answered, s.Attempts, s.AttemptsPerAnswer, s.TargetSecondsPerAnswer*1000)
	}
}
