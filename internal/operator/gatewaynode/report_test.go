package gatewaynode

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// silentStore does not answer writes.
type silentStore struct {
	object.Store
	writes int
}

func (s *silentStore) Put(context.Context, string, string, object.Version, any) (object.Object, error) {
	s.writes++
	return object.Object{}, errors.New("no answer")
}

// TestReportsBackOffWhileStoreIsSilent guards against all nodes that have seen a crash writing three times a second while the store does not answer.
func TestReportsBackOffWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(t.Output())
		store := &silentStore{}
		cfg := Config{Settings: settings.Gateway{Name: "n-1"}, Store: store, Log: log, Now: time.Now, Platform: Adapter{
			CrashReportName: func(node string) string { return "crashes." + node },
			CrashReport:     func(quarantine.Report) any { return nil },
			QuarantineEntry: func(quarantine.Shared) any { return nil },
		}}
		m := metrics.New()
		n := &Node{cfg: cfg, view: newFleetView(cfg, m)}
		c := newCrashReporter(n)
		n.view.crashes = c
		n.view.shared = newSharedQuarantine(n, c.keeper)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		c.write(ctx)
		_ = m.Close()
		if got, want := store.writes, 8; got > want || got < 4 {
			t.Errorf("got %d writes in 10 s, want 4 to %d", got, want)
		}
	})
}
