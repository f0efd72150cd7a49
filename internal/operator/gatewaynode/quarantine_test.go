package gatewaynode

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// deletingStore records the names of the objects that are deleted.
type deletingStore struct {
	object.Store
	deleted []string
}

func (s *deletingStore) Delete(_ context.Context, _, name string, _ object.Version) error {
	s.deleted = append(s.deleted, name)
	return nil
}

// TestExpiredReportsOfGoneNodesAreDeleted covers reports that no node renews: one node deletes them, and no other report.
func TestExpiredReportsOfGoneNodesAreDeleted(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	strike := func(age time.Duration) quarantine.Report {
		return quarantine.Report{}.WithStrike(quarantine.Strike{Trait: quarantine.Trait{Kind: quarantine.PromptPart, Service: "svc", ID: "a"}, Run: notice.Target{ID: "i-1"}, At: now.Add(-age)})
	}
	names := []string{"n-1", "n-2", "n-3"}
	var deleted []string
	for _, self := range names {
		log := logrus.New()
		log.SetOutput(t.Output())
		store := &deletingStore{}
		cfg := Config{Settings: settings.Gateway{Name: self}, Store: store, Log: log, Now: func() time.Time { return now }, Platform: Adapter{CrashReportName: func(node string) string { return "crashes." + node }}}
		n := &Node{cfg: cfg, view: newFleetView(cfg, metrics.New())}
		var nodes []registry.Node
		for _, name := range names {
			nodes = append(nodes, registry.Node{Name: name})
		}
		n.view.registry.Store(registry.New().WithNodes(nodes))
		c := newCrashReporter(n)
		// The reports were received before they expired.
		earlier := now.Add(-3 * time.Hour)
		c.keeper.Merge(earlier, "gone", strike(2*time.Hour))
		c.keeper.Merge(earlier, "n-2", strike(2*time.Hour))
		c.keeper.Merge(now, "recently-gone", strike(time.Minute))
		c.prune(t.Context(), now)
		deleted = append(deleted, store.deleted...)
	}
	if want := []string{"crashes.gone"}; !slices.Equal(deleted, want) {
		t.Errorf("got %v deleted by three nodes, want %v", deleted, want)
	}
}

// puttingStore records the reports that are written.
type puttingStore struct {
	object.Store
	written chan quarantine.Report
}

func (s *puttingStore) Put(_ context.Context, _, name string, _ object.Version, value any) (object.Object, error) {
	if name != "quarantine" {
		s.written <- value.(quarantine.Report)
	}
	return object.Object{Name: name, Version: 7}, nil
}

func newTestReporter(t *testing.T, now time.Time, store object.Store, parsed quarantine.Report) *crashReporter {
	log := logrus.New()
	log.SetOutput(t.Output())
	cfg := Config{Settings: settings.Gateway{Name: "n-1"}, Store: store, Log: log, Now: func() time.Time { return now }, Platform: Adapter{
		CrashReportName: func(node string) string { return "crashes." + node }, CrashReportNode: func(name string) string { return strings.TrimPrefix(name, "crashes.") },
		CrashReport: func(r quarantine.Report) any { return r }, ParseCrashReport: func(object.Object) (quarantine.Report, error) { return parsed, nil },
		QuarantineName: "quarantine", QuarantineEntry: func(s quarantine.Shared) any { return s },
		ParseQuarantine: func(object.Object) (quarantine.Shared, error) { return quarantine.Shared{Key: []byte("key")}, nil },
	}}
	n := &Node{cfg: cfg, view: newFleetView(cfg, metrics.New())}
	n.view.crashes = newCrashReporter(n)
	n.view.shared = newSharedQuarantine(n, n.view.crashes.keeper)
	return n.view.crashes
}

// TestWithdrawnStrikeDoesNotReturn covers the node's own report that it reads again after it has withdrawn a strike.
func TestWithdrawnStrikeDoesNotReturn(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	part, run := quarantine.Trait{Kind: quarantine.PromptPart, Service: "svc", ID: "a"}, notice.Target{ID: "i-1"}
	store := &puttingStore{written: make(chan quarantine.Report, 10)}
	c := newTestReporter(t, now, store, quarantine.Report{}.WithStrike(quarantine.Strike{Trait: part, Run: run, At: now}))
	c.keeper.RecordCrash(now, run, quarantine.Request{Service: "svc", Parts: []string{"a"}}, true)
	c.write(t.Context())
	c.keeper.RecordPlannedStop(now, run)
	c.applyReport("n-1", object.Event{Type: object.Put, Object: object.Object{Name: "crashes.n-1", Version: 7}})
	if got := len(c.keeper.Own(now).Strikes); got != 0 {
		t.Errorf("got %d strikes, want the withdrawn one gone", got)
	}
}

// TestReportIsWrittenAgainAfterRestore covers two nodes that saw the same crash, and a store that has lost both reports.
func TestReportIsWrittenAgainAfterRestore(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	run := notice.Target{ID: "i-1"}
	store := &puttingStore{written: make(chan quarantine.Report, 10)}
	c := newTestReporter(t, now, store, quarantine.Report{})
	c.keeper.RecordCrash(now, run, quarantine.Request{Service: "svc", Parts: []string{"a"}}, true)
	c.keeper.Merge(now, "n-2", c.keeper.Own(now))
	c.node.view.restored = true
	c.replaceReports(object.List{Version: object.NewVersion(2, 1)})
	go c.writeReports(t.Context())
	select {
	case r := <-store.written:
		if len(r.Strikes) != 2 {
			t.Errorf("got %d strikes written, want those on the part and on the request", len(r.Strikes))
		}
	case <-time.After(2 * time.Second):
		t.Error("got no report written")
	}
}
