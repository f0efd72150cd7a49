// Command standin runs the stand-ins of the platform and of targets as processes of their own.
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
	c := &cobra.Command{Use: "standin", Short: "Stand-ins of what lacewingdrift serves", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(platformCommand(), targetCommand("engine", true), targetCommand("service", false))
	return c
}

func platformCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Run the platform's object API in memory",
		Long:    "Platform keeps objects in memory. PUT /standin/faults sets faults, GET /standin/counts counts calls.",
		Example: "  standin platform --address 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return http.ListenAndServe(address, store.New().Handler())
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7000", "where to listen")
	return c
}

func targetCommand(kind string, streams bool) *cobra.Command {
	var cfg engine.Config
	var events int
	c := &cobra.Command{
		Use:     kind,
		Short:   "Run a target",
		Long:    "It answers /v1/run; PUT /standin/faults sets faults, GET /standin/counts tells what it ran.",
		Example: "  standin " + kind + " --name letters-1 --address 127.0.0.1:7101 --service 80ms --cold 2 --limit 16",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if streams {
				cfg.Events = events
			}
			if err := engine.New(cfg).Start(); err != nil {
				return err
			}
			select {}
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Name, "name", kind, "the target's name")
	f.StringVar(&cfg.Address, "address", "127.0.0.1:7101", "where to listen")
	f.IntVar(&cfg.ColdLimit, "cold", 2, "how many requests at once it bears while cold")
	f.IntVar(&cfg.WarmupSuccesses, "warm", 8, "how many answers double that")
	f.IntVar(&cfg.Limit, "limit", 16, "how many requests at once it bears at most")
	f.DurationVar(&cfg.ServiceTime, "service", 50*time.Millisecond, "the time of one request")
	f.DurationVar(&cfg.RestartDelay, "restart", time.Second, "how long it stays away after falling over")
	f.BoolVar(&cfg.RequiresFencing, "fenced", false, "refuse orders with an old fencing number")
	if streams {
		f.IntVar(&events, "events", 8, "how many events a streamed answer has")
	}
	return c
}
