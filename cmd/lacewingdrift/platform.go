package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/deployment"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/journal"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/link"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
	"github.com/lacewingdrift/lacewingdrift/platform"
)

const (
	// logLines is how many log lines may wait for a slow reader.
	logLines = 4096
	// logRate is how many lines are logged in a second: at 15 us each, less than a tenth of a machine with a fifth of a core.
	logRate = 1000
	// logFlush bounds the time for the last lines at the end.
	logFlush = 100 * time.Millisecond
)

// servePlatform runs one node by the platform's settings file until SIGTERM.
func servePlatform() error {
	transport.TakeSignals()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return merry.Errorf("%s is not set", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	out := journal.NewBounded(journal.BoundedConfig{Out: os.Stdout, Waiting: logLines, Rate: logRate, Now: time.Now})
	log := journal.New(journal.Config{Level: "info", Format: "json", Out: out})
	journal.Adopt(log)
	links := link.NewPool()
	n, err := deployment.Start(deployment.Config{
		Settings:  s,
		ReadyPath: platform.ReadyPath,
		Platform: deployment.Translator{
			Config: platform.KindConfig, Targets: platform.KindTargets, Out: platform.KindOut, Nodes: platform.KindNodes,
			Main: platform.ConfigName, Table: platform.Table, Target: platform.Target, Node: platform.Node, Member: platform.Member,
		},
		Store:   platform.NewStore(s.Store),
		Dialect: platform.Dialect{},
		Caller:  platform.Stages{Links: links},
		Links:   links,
		Log:     log,
		Now:     time.Now,
	})
	if err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			if _, err := platform.ReadSettings(path); err != nil {
				log.WithError(err).Warn("node: settings have changed and cannot be read, those of the start hold")
				continue
			}
			log.Info("node: settings read again, they take effect at the next start")
		case <-signals:
			n.Stop()
			stop := make(chan struct{})
			time.AfterFunc(logFlush, func() { close(stop) })
			out.Close(stop)
			return nil
		}
	}
}
