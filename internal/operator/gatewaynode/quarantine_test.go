package gatewaynode

import (
	"context"
	"slices"
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
		return quarantine.Report{}.WithStrike(quarantine.Strike{Part: quarantine.Part{Service: "svc", ID: "a"}, Run: notice.Target{ID: "i-1"}, At: now.Add(-age)})
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
