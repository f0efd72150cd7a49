package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const serveUsage = `Serve runs one node until it is told to stop.

The settings file says who the node is, where it listens and where the platform
is; everything else comes from the platform. SIGTERM is a planned stop: the node
turns not ready, hands over what it owns, finishes what runs, and exits with 0. A
second signal ends it at once.

With --platform the node runs on the users' platform: the environment variable
LACEWINGDRIFT_NODE_FILE names the settings file that the platform provides, and
routes, services, teams and targets come from the platform's store.`

func serveCommand() *cobra.Command {
	var file string
	var print, platform bool
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one node",
		Long:  serveUsage,
		Example: `  lacewingdrift serve --settings node.toml
  lacewingdrift serve --print-settings
  lacewingdrift serve --platform`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if print {
				text, err := settings.Default().Encode()
				fmt.Fprint(c.OutOrStdout(), text)
				return err
			}
			if platform {
				return servePlatform()
			}
			s, err := settings.Read(file)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&file, "settings", "lacewingdrift.toml", "the node's settings file")
	c.Flags().BoolVar(&platform, "platform", false, "run on the users' platform, by the settings file that it provides")
	c.Flags().BoolVar(&print, "print-settings", false, "print the defaults and exit")
	return c
}

func serve(s settings.Settings) error {
	transport.DisableSignalHandling()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log := logging.New(logging.Config{Level: s.Log.Level, Format: s.Log.Format, Out: os.Stderr})
	logging.RedirectGoZero(log)
	p, err := process.Start(process.Config{Settings: s, Log: log, Seed: rand.Uint64()})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	p.Stop(ctx)
	return nil
}
