package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/stopsignal"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const serveUsage = `Serve runs one node until it receives SIGTERM or SIGINT.

The settings file sets the node's name, its addresses and the address of the
platform; everything else comes from the platform. SIGTERM is a planned stop: the
node becomes not ready, hands over what it owns, finishes what ends within
timing.grace and exits with 0. SIGINT during a stop ends it at once.

With --platform the node runs on the users' platform: the environment variable
LACEWINGDRIFT_NODE_FILE names the settings file that the platform provides, and
routes, services, teams and targets come from the platform's store.`

func serveCommand() *cobra.Command {
	var file string
	var printSettings, onPlatform bool
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one node",
		Long:  serveUsage,
		Example: `  lacewingdrift serve --settings node.toml
  lacewingdrift serve --print-settings
  lacewingdrift serve --platform`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if printSettings {
				text, err := settings.Default().Encode()
				fmt.Fprint(c.OutOrStdout(), text)
				return err
			}
			if onPlatform {
				return servePlatform()
			}
			s, err := settings.Read(file)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&file, "settings", "lacewingdrift.toml", "settings file of the node")
	c.Flags().BoolVar(&onPlatform, "platform", false, "run on the users' platform, with the settings file that it provides")
	c.Flags().BoolVar(&printSettings, "print-settings", false, "print the default settings and exit")
	return c
}

func serve(s settings.Settings) error {
	transport.DisableSignalHandling()
	signals := stopsignal.Received()
	log := logging.New(logging.Config{Level: s.Log.Level, Format: s.Log.Format, Out: os.Stderr})
	logging.RedirectGoZero(log)
	p, err := process.Start(process.Config{Settings: s, Log: log, Seed: rand.Uint64()})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		// Supervisors may send SIGTERM more than once; only an operator interrupts a stop.
		for s := range signals {
			if s == syscall.SIGINT {
				cancel()
			}
		}
	}()
	p.Stop(ctx)
	return nil
}
