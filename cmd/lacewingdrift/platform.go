package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/gatewaynode"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/stopsignal"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
	"github.com/lacewingdrift/lacewingdrift/platform"
)

const (
	// logQueueSize is the maximum number of log lines that wait for a slow reader.
	logQueueSize = 4096
	// logQueueBytes is the maximum size of these lines together: a line is mostly below 1 kB, but may name a header of a caller.
	logQueueBytes = 4 << 20
	// logLinesPerSecond limits logging: at 15 us per line, it takes less than a tenth of a VM with a fifth of a core.
	logLinesPerSecond = 1000
	// heapShare is the part of the machine's memory, in sixteenths, from which on garbage is collected more often: the program's code, stacks
	// of other threads and the kernel's buffers need the rest.
	heapShare = 11
	// logFlushTimeout limits the time to write the last lines at the end.
	logFlushTimeout = 100 * time.Millisecond
)

// servePlatform runs one node on the users' platform, with the platform's settings file, until SIGTERM or SIGINT.
func servePlatform() error {
	transport.DisableSignalHandling()
	signals := stopsignal.Received()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return merry.Errorf("%s is not set", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryBytes / 16 * heapShare)
	out := logging.NewBoundedWriter(logging.BoundedWriterConfig{Out: os.Stdout, QueueSize: logQueueSize, QueueBytes: logQueueBytes, LinesPerSecond: logLinesPerSecond, Now: time.Now})
	log := logging.New(logging.Config{Level: "info", Format: "json", Out: out})
	logging.RedirectGoZero(log)
	connections := connection.NewPool()
	meter := metrics.New()
	n, err := gatewaynode.Start(gatewaynode.Config{
		Settings:  s,
		ReadyPath: platform.ReadyPath,
		Platform: gatewaynode.Adapter{
			ConfigKind: platform.KindConfig, TargetKind: platform.KindTargets, EvacuationKind: platform.KindEvacuations, NodeKind: platform.KindNodes,
			ConfigName: platform.ConfigName, ParseTable: platform.ParseTable, ParseTarget: platform.ParseTarget, ParseNode: platform.ParseNode, NodeEntry: platform.NodeEntry,
			CrashReportName: platform.CrashReportName, CrashReportNode: platform.CrashReportNode, ParseCrashReport: platform.ParseCrashReport, CrashReport: platform.CrashReport,
			QuarantineName: platform.QuarantineName, ParseQuarantine: platform.ParseQuarantine, QuarantineEntry: platform.QuarantineEntry,
			RolloutKind: platform.KindRollouts, ParseRollout: platform.ParseRollout, RolloutStatus: platform.RolloutStatus,
		},
		Store:       platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, OnCall: meter.CountStoreCall}),
		Meter:       meter,
		Headers:     platform.HeaderCodec{},
		StageClient: platform.NewStageClient(connections),
		Connections: connections,
		GracePeriod: func() (time.Duration, error) {
			s, err := platform.ReadSettings(path)
			return s.GracePeriod, err
		},
		Log: log,
		Now: time.Now,
	})
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			if _, err := platform.ReadSettings(path); err != nil {
				log.WithError(err).Warn("node: changed settings cannot be read; the settings read at the start stay in force")
				continue
			}
			log.Info("node: settings read again; they take effect at the next start")
		case <-signals:
			n.Stop()
			stop := make(chan struct{})
			time.AfterFunc(logFlushTimeout, func() { close(stop) })
			out.Close(stop)
			return nil
		}
	}
}
