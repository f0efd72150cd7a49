// Command standin runs stand-ins for the platform and for targets as separate processes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run stand-ins for the platform and for targets of lacewingdrift", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(platformCommand(), targetCommand("engine", true), targetCommand("service", false))
	return c
}

func platformCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Run the platform's object API in memory",
		Long:    "Platform keeps objects in memory. PUT /standin/faults sets the injected faults, GET /standin/counts returns the counts of calls.",
		Example: "  standin platform --address 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return http.ListenAndServe(address, store.New().Handler())
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7000", "address to listen on")
	return c
}

func targetCommand(kind string, isStreaming bool) *cobra.Command {
	var cfg engine.Config
	var events int
	c := &cobra.Command{
		Use:     kind,
		Short:   "Run a stand-in for a target",
		Long:    "It serves /v1/run. PUT /standin/faults sets the injected faults, GET /standin/counts returns the counts of what it ran.",
		Example: "  standin " + kind + " --name letters-1 --address 127.0.0.1:7101 --service 80ms --cold 2 --limit 16",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if isStreaming {
				cfg.Events = events
			}
			if err := engine.New(cfg).Start(); err != nil {
				return err
			}
			select {}
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Name, "name", kind, "name of the target")
	f.StringVar(&cfg.Address, "address", "127.0.0.1:7101", "address to listen on")
	f.IntVar(&cfg.ColdLimit, "cold", 2, "maximum number of concurrent requests while cold")
	f.IntVar(&cfg.WarmupSuccesses, "warm", 8, "number of successes that double the maximum during warm-up")
	f.IntVar(&cfg.Limit, "limit", 16, "maximum number of concurrent requests when warm")
	f.DurationVar(&cfg.ServiceTime, "service", 50*time.Millisecond, "time of one request")
	f.DurationVar(&cfg.RestartDelay, "restart", time.Second, "time from a crash to the restart")
	f.BoolVar(&cfg.RequiresFencing, "fenced", false, "refuse requests with an old fencing token")
	if isStreaming {
		f.IntVar(&events, "events", 8, "number of events of a streamed response")
	}
	return c
}
