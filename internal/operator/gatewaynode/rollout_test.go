package gatewaynode

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// newRolloutView returns the view of a node that reads orders, whose values are their versions, from a store.
func newRolloutView(t *testing.T, s object.Store) *fleetView {
	log := logrus.New()
	log.SetOutput(t.Output())
	v := newFleetView(Config{Settings: settings.Gateway{Name: "n-1"}, Store: s, Log: log, Now: time.Now, Platform: Adapter{
		RolloutKind: "rollouts", RolloutStatus: func(s rollout.Status) any { return s },
		ParseRollout: func(o object.Object) (order rollout.Order, status rollout.Status, err error) {
			order = rollout.Order{Service: o.Name, Duration: time.Minute, Created: o.Created}
			if o.Status != nil {
				err = json.Unmarshal(o.Status, &status)
			}
			return order, status, errors.Join(err, json.Unmarshal(o.Value, &order.Version))
		},
	}}, metrics.New())
	v.rollouts, v.onRollout = rollout.NewKeeper(rollout.KeeperConfig{Self: "n-1", Limits: rollout.Limits{Share: 0.1}}), func() {}
	return v
}

// read returns the present object, as the watch or a list would bring it.
func read(t *testing.T, s object.Store, name string) object.Object {
	o, err := s.Get(t.Context(), "rollouts", name)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// progressOf returns the progress of the only rollout without a final state.
func progressOf(v *fleetView) (p rollout.Progress) {
	for _, p = range v.rollouts.Rollouts() {
	}
	return p
}

// TestWritersDoNotBothDecide guards against a final state that is written over another one, or over one whose answer was lost, and
// against nodes that go on without it.
func TestWritersDoNotBothDecide(t *testing.T) {
	s := store.New().Connect()
	first, second := newRolloutView(t, s), newRolloutView(t, s)
	if _, err := s.Put(t.Context(), "rollouts", "svc", 0, "v2"); err != nil {
		t.Fatal(err)
	}
	for _, v := range []*fleetView{first, second} {
		o := read(t, s, "svc")
		v.replace("rollouts", object.List{Version: o.Version, Items: []object.Object{o}}, v.replaceRollouts)
	}
	p := progressOf(second)
	if err := first.writeRollout(t.Context(), progressOf(first), rollout.Completed); err != nil {
		t.Fatal(err)
	}
	if err := second.writeRollout(t.Context(), p, rollout.RolledBack); err == nil {
		t.Error("got no error from the second writer, want a conflict")
	}
	if got := second.rollouts.Rollouts(); len(got) != 0 {
		t.Errorf("got %+v after the conflict, want the final state taken in", got)
	}
	before := read(t, s, "svc")
	if err := second.writeRollout(t.Context(), p, rollout.RolledBack); !errors.Is(err, errOrderChanged) {
		t.Errorf("got error %v after a final state, want %v", err, errOrderChanged)
	}
	if got := read(t, s, "svc"); got.Version != before.Version {
		t.Errorf("got status %s written over %s", got.Status, before.Status)
	}
}

// TestOldEventsDoNotBringAnOrderBack guards against a conflict that shows an order before the watch does: events from before it would
// start the earlier order again, and the later one then starts late.
func TestOldEventsDoNotBringAnOrderBack(t *testing.T) {
	s := store.New().Connect()
	v := newRolloutView(t, s)
	created, err := s.Put(t.Context(), "rollouts", "svc", 0, "v2")
	if err != nil {
		t.Fatal(err)
	}
	v.replace("rollouts", object.List{Version: created.Version, Items: []object.Object{created}}, v.replaceRollouts)
	running, err := s.PutStatus(t.Context(), "rollouts", "svc", created.Version, rollout.Status{Version: "v2", State: rollout.Running})
	if err != nil {
		t.Fatal(err)
	}
	other, err := s.Put(t.Context(), "rollouts", "other", 0, "v9")
	if err != nil {
		t.Fatal(err)
	}
	replaced, err := s.Put(t.Context(), "rollouts", "svc", running.Version, "v3")
	if err != nil {
		t.Fatal(err)
	}
	var conflict *object.ConflictError
	if err := v.writeRollout(t.Context(), progressOf(v), rollout.RolledBack); !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want a conflict", err)
	}
	if got := v.Lists()["rollouts"].Version; got >= other.Version {
		t.Errorf("got a list of version %d for followers, which lacks the order of version %d", got, other.Version)
	}
	got := progressOf(v).Order.Version
	for _, o := range []object.Object{running, replaced} {
		v.apply("rollouts", object.Event{Type: object.Put, Object: o}, v.applyRollout)
		got += " " + progressOf(v).Order.Version
	}
	if want := "v2 v2 v3"; got != want {
		t.Errorf("got orders %s after the conflict and each event, want %s", got, want)
	}
}

// TestUnreadableOrderEndsNoRollout guards against a list with a state that this node does not know, which would withdraw the version.
func TestUnreadableOrderEndsNoRollout(t *testing.T) {
	v := newRolloutView(t, nil)
	for _, status := range []string{`{}`, `7`} {
		o := object.Object{Kind: "rollouts", Name: "svc", Version: 5, Value: []byte(`"v2"`), Status: []byte(status)}
		v.replace("rollouts", object.List{Version: 5, Items: []object.Object{o}}, v.replaceRollouts)
		if got := progressOf(v).Order.Version; got != "v2" {
			t.Errorf("status %s: got order %q, want v2", status, got)
		}
	}
}
