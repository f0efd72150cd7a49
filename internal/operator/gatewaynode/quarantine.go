package gatewaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	// reportInterval is the least time between two writes of a node's report of crashes.
	reportInterval = 20 * time.Millisecond
	// clearanceDelay bounds the time after which a node writes a clearance, unless another node has written the same.
	clearanceDelay = 300 * time.Millisecond
	// reportRetry is the delay before another attempt to write the report; it doubles up to maxReportRetry while the store does not
	// answer, since all nodes that have seen a crash write at once.
	reportRetry    = 300 * time.Millisecond
	maxReportRetry = 2400 * time.Millisecond
)

// crashReporter writes the node's report of crashes to the store, and logs the verdicts that follow from all reports.
type crashReporter struct {
	node   *Node
	keeper *quarantine.Keeper
	// due is sent to when the report has to be written, evidence when any report has changed.
	due      chan quarantine.Urgency
	evidence chan struct{}
	// lost is set if the store may have lost the report.
	lost atomic.Bool
	// written is the report as it was last written; only writeReports uses it.
	written quarantine.Report
}

func newCrashReporter(n *Node) *crashReporter {
	c := &crashReporter{node: n, due: make(chan quarantine.Urgency, 1), evidence: make(chan struct{}, 1)}
	c.keeper = quarantine.NewKeeper(quarantine.KeeperConfig{
		Node:       n.cfg.Settings.Name,
		OnReport:   func(u quarantine.Urgency) { offer(c.due, u) },
		OnEvidence: func() { offer(c.evidence, struct{}{}) },
	})
	return c
}

// offer sends a value unless one is waiting already.
func offer[T any](ch chan T, v T) {
	select {
	case ch <- v:
	default:
	}
}

// writeReports writes the node's report each time that it has news for other nodes.
func (c *crashReporter) writeReports(ctx context.Context) {
	for {
		var urgency quarantine.Urgency
		select {
		case <-ctx.Done():
			return
		case urgency = <-c.due:
		}
		if urgency == quarantine.Deferred {
			c.sleep(ctx, rand.N(clearanceDelay))
		}
		now := c.node.cfg.Now()
		own := c.keeper.Own(now)
		isLost := c.lost.Swap(false) && !own.IsEmpty()
		if !isLost && !c.keeper.HasNews(now) && !own.Withdraws(c.written) {
			continue
		}
		c.write(ctx)
		c.sleep(ctx, reportInterval)
	}
}

func (c *crashReporter) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// write writes the node's report until the store has it, or an operator has deleted it.
func (c *crashReporter) write(ctx context.Context) {
	cfg := c.node.cfg
	ctx = object.WithPurpose(ctx, object.PurposeReport)
	kind, name := cfg.Platform.NodeKind, cfg.Platform.CrashReportName(cfg.Settings.Name)
	version := c.node.view.cachedVersion(kind, name)
	retry := reportRetry
	for ctx.Err() == nil {
		if err := c.node.view.shared.ensureKey(ctx); err != nil {
			cfg.Log.WithError(err).Warn("fleet: writing the key that requests are named with failed")
			c.sleep(ctx, retry)
			retry = min(2*retry, maxReportRetry)
			continue
		}
		report := c.keeper.Own(cfg.Now())
		o, err := cfg.Store.Put(ctx, kind, name, version, cfg.Platform.CrashReport(report))
		var conflict *object.ConflictError
		switch {
		case err == nil:
			c.node.view.ownReport.Store(&ownEntry{version: o.Version})
			c.written = report
			return
		case errors.As(err, &conflict):
			c.merge(cfg.Settings.Name, conflict.Current)
			version = conflict.Current.Version
			continue
		case errors.Is(err, object.ErrNotFound) && version.Era() == object.EraOf(cfg.Store):
			c.remove(cfg.Settings.Name, version)
			return
		case errors.Is(err, object.ErrNotFound):
			version = 0
			continue
		}
		cfg.Log.WithError(err).Warn("fleet: writing the node's report of crashes failed")
		c.sleep(ctx, retry)
		retry = min(2*retry, maxReportRetry)
	}
}

// prune withdraws the node's own report once all of it has expired, and deletes those of nodes that are gone.
func (c *crashReporter) prune(ctx context.Context, now time.Time) {
	view, cfg := c.node.view, c.node.cfg
	ctx = object.WithPurpose(ctx, object.PurposeReport)
	live := view.registry.Load().NodeNames()
	for _, node := range c.keeper.Board().Nodes() {
		isExpired := c.keeper.Board().Report(node).Pruned(now).IsEmpty()
		switch {
		case !isExpired:
		case node == cfg.Settings.Name:
			offer(c.due, quarantine.Immediate)
		case !slices.Contains(live, node) && rendezvous.First(node, live) == cfg.Settings.Name:
			name := cfg.Platform.CrashReportName(node)
			if err := cfg.Store.Delete(ctx, cfg.Platform.NodeKind, name, view.cachedVersion(cfg.Platform.NodeKind, name)); err != nil {
				cfg.Log.WithError(err).WithField("peer", node).Warn("fleet: deleting the report of a node that is gone failed")
			}
		}
	}
}

// merge takes in a node's report from the store. The node's own one counts until it has written it: it is from before a
// restart, and later ones hold what the node may have withdrawn since.
func (c *crashReporter) merge(node string, o object.Object) {
	if node == c.node.cfg.Settings.Name && c.node.view.ownReport.Load() != nil {
		return
	}
	r, err := c.node.cfg.Platform.ParseCrashReport(o)
	if err != nil {
		c.node.view.logUnreadable(o, err)
		return
	}
	c.node.view.logReadable(o)
	c.keeper.Merge(c.node.cfg.Now(), node, r)
}

// replaceReports takes in the reports in a list of the nodes' objects. A report that is missing was deleted by an operator,
// unless the list is the first one after the store came back from an older copy; then its node writes it again.
func (c *crashReporter) replaceReports(l object.List) {
	v, self := c.node.view, c.node.cfg.Settings.Name
	listed := map[string]bool{}
	for _, o := range l.Items {
		if node := c.node.cfg.Platform.CrashReportNode(o.Name); node != "" {
			listed[node] = true
			c.merge(node, o)
			c.checkOwnReport(node, o)
		}
	}
	for _, node := range c.keeper.Board().Nodes() {
		switch {
		case node == self && v.restored:
			c.lost.Store(true)
			offer(c.due, quarantine.Immediate)
		case listed[node] || v.restored:
		case node != self:
			c.remove(node, l.Version)
		default:
			if own := v.ownReport.Load(); own != nil && own.version < l.Version {
				c.remove(node, l.Version)
			}
		}
	}
}

func (c *crashReporter) applyReport(node string, e object.Event) {
	if e.Type == object.Delete {
		c.remove(node, e.Object.Version)
		return
	}
	c.merge(node, e.Object)
	c.checkOwnReport(node, e.Object)
}

// checkOwnReport has the node's own report written again if another writer has put something else in its place.
func (c *crashReporter) checkOwnReport(node string, o object.Object) {
	if node != c.node.cfg.Settings.Name {
		return
	}
	_, err := c.node.cfg.Platform.ParseCrashReport(o)
	if err == nil {
		c.node.view.logReadable(o)
		return
	}
	c.node.view.logUnreadable(o, err)
	if own := c.node.view.ownReport.Load(); own != nil && own.version < o.Version {
		c.lost.Store(true)
		offer(c.due, quarantine.Immediate)
	}
}

func (c *crashReporter) remove(node string, version object.Version) {
	c.node.cfg.Log.WithFields(logrus.Fields{"peer": node, "revision": version.Revision()}).Info("fleet: report of crashes was deleted")
	c.keeper.Remove(c.node.cfg.Now(), node)
}

// logVerdicts logs what is put in quarantine or lifted from it.
func (c *crashReporter) logVerdicts(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.evidence:
		case <-timer.C:
		}
		now := c.node.cfg.Now()
		changes, next := c.keeper.Review(now)
		for _, change := range changes {
			c.logVerdict(change)
		}
		if len(changes) > 0 {
			counts := map[quarantine.Kind]int{}
			for _, v := range c.keeper.Verdicts(now) {
				counts[v.Traits[0].Kind]++
			}
			c.node.meter.Gauge("quarantined_parts", float64(counts[quarantine.PromptPart]))
			c.node.meter.Gauge("quarantined_requests", float64(counts[quarantine.Content]))
		}
		if !next.IsZero() {
			timer.Reset(next.Sub(now))
		}
	}
}

// traitNames and traitFields are how the log calls the kinds of traits, and the fields with their IDs.
var (
	traitNames  = map[quarantine.Kind]string{quarantine.PromptPart: "part of prompts", quarantine.Content: "request"}
	traitFields = map[quarantine.Kind]string{quarantine.PromptPart: "parts", quarantine.Content: "fingerprints"}
)

func (c *crashReporter) logVerdict(change quarantine.Change) {
	runs := make([]string, 0, len(change.Runs))
	for _, run := range change.Runs {
		runs = append(runs, run.ID)
	}
	kind := change.Traits[0].Kind
	log := c.node.cfg.Log.WithFields(logrus.Fields{"service": change.Traits[0].Service, traitFields[kind]: change.IDs(), "crashed": runs, "since": change.At.UTC().Format(time.RFC3339Nano)})
	if change.Lifted {
		log.Warn("fleet: " + traitNames[kind] + " is no longer in quarantine")
		return
	}
	log.Warn("fleet: " + traitNames[kind] + " is in quarantine, targets crash under it")
}
