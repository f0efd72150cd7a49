package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/gatewaynode"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
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
	transport.DisableSignalHandling()
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
	out := logging.NewBoundedWriter(logging.BoundedWriterConfig{Out: os.Stdout, QueueSize: logLines, LinesPerSecond: logRate, Now: time.Now})
	log := logging.New(logging.Config{Level: "info", Format: "json", Out: out})
	logging.RedirectGoZero(log)
	links := connection.NewPool()
	n, err := gatewaynode.Start(gatewaynode.Config{
		Settings:  s,
		ReadyPath: platform.ReadyPath,
		Platform: gatewaynode.Adapter{
			ConfigKind: platform.KindConfig, TargetKind: platform.KindTargets, EvacuationKind: platform.KindEvacuations, NodeKind: platform.KindNodes,
			ConfigName: platform.ConfigName, ParseTable: platform.ParseTable, ParseTarget: platform.ParseTarget, ParseNode: platform.ParseNode, NodeEntry: platform.NodeEntry,
		},
		Store:       platform.NewStore(s.StoreAddress),
		Dialect:     platform.HeaderCodec{},
		StageClient: platform.StageClient{Links: links},
		Links:       links,
		Log:         log,
		Now:         time.Now,
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
