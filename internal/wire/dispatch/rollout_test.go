package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// TestWithdrawnVersionGetsNoCalls guards against calls that start after the pauses of a version's targets have ended, without another
// look at the rollout: when a target has reported its space or a call is overdue.
func TestWithdrawnVersionGetsNoCalls(t *testing.T) {
	f := &fakeTargets{run: func(_ int, t registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if t.ID == "old" {
			time.Sleep(3 * rolloutPause)
		}
		return nil, nil
	}}
	before, after := target("old", "a"), target("new", "a")
	before.Software, after.Software = "v1", "v2"
	d := newTestDispatcher(f, before, after)
	d.cfg.Rollouts = rollout.NewKeeper(rollout.KeeperConfig{Self: "n-1", Limits: rollout.Limits{Share: 0.1}})
	d.cfg.Rollouts.SetOrder(time.Now(), rollout.Order{Service: "s", Version: "v2", Duration: time.Minute, Created: 1}, rollout.Status{Version: "v2", State: rollout.RolledBack})
	done := make(chan error)
	for _, request := range []string{"first", "second"} {
		go func() {
			_, err := d.Produce(context.Background(), testGroup(request, testProfile.MaxSize, 1), noCallbacks)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(rolloutPause + 20*time.Millisecond)
	d.mu.Lock()
	// As in probe and retryOverdue: the targets are not updated first.
	d.startCalls(time.Now(), d.scheduler("s", ""), testProfile)
	d.mu.Unlock()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	for _, c := range f.recordedCalls() {
		if c.target != "old" {
			t.Errorf("got a call of %d pieces to the target of a version that was rolled back", len(c.pieces))
		}
	}
}
