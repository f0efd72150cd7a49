package gatewaynode

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

// newTestView returns a view at a time, of a node whose changes must be in force within 3 s.
func newTestView(t *testing.T, now func() time.Time) *fleetView {
	log := logrus.New()
	log.SetOutput(io.Discard)
	meter := metrics.New()
	t.Cleanup(func() { _ = meter.Close() })
	platform := Adapter{ConfigKind: "config", TargetKind: "targets", EvacuationKind: "evacuations", NodeKind: "nodes"}
	return newFleetView(Config{Settings: settings.Gateway{Name: "n", Datacentre: "a", DrainTime: 3 * time.Second, ConfigTime: 4 * time.Second}, Platform: platform, Log: log, Now: now}, meter)
}

// TestRelayMessagesRenewView guards against a view whose age counts from the lists of a relay although later messages have come.
func TestRelayMessagesRenewView(t *testing.T) {
	now := time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)
	v := newTestView(t, func() time.Time { return now })
	if got, want := v.untilRead(now), 2200*time.Millisecond; got != want {
		t.Errorf("nothing read yet: got %s until the store must be read, want %s", got, want)
	}
	v.recordContact("targets", now.Add(-2*time.Second))
	if got, want := v.untilRead(now), 200*time.Millisecond; got != want {
		t.Errorf("targets read 2 s ago: got %s until the store must be read, want %s", got, want)
	}
	v.applyUpdate(snapshot.Update{}, now.Add(-500*time.Millisecond))
	if got, want := v.untilRead(now), 1700*time.Millisecond; got != want {
		t.Errorf("message of a relay with a view of 500 ms: got %s until the store must be read, want %s", got, want)
	}
	v.applyUpdate(snapshot.Update{}, now.Add(-time.Second))
	if got, want := v.viewAge(now), 500*time.Millisecond; got != want {
		t.Errorf("message of a relay with an older view: got an age of %s, want %s", got, want)
	}
}

// TestAgeOfRelayAloneDoesNotRenewView guards against a view that counts as fresh because a relay has told its age, before its lists have come.
func TestAgeOfRelayAloneDoesNotRenewView(t *testing.T) {
	v := newTestView(t, time.Now)
	v.recordContact("targets", time.Now().Add(-time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	address := fakePeer{versions: map[string]object.Version{"other": 1}, silent: true}.serve(t)
	_ = v.followRelay(ctx, registry.Node{Name: "relay", Datacentre: "a", Address: address}, newRelayRace())
	if got, least := v.viewAge(time.Now()), time.Second; got < least {
		t.Errorf("got an age of %s, want at least %s", got, least)
	}
	if got, _ := v.source.state(); got != fromStart {
		t.Errorf("got mode %q, want %q", got, fromStart)
	}
}

// TestResumeVersion covers from which version a node watches the store once its relay is lost.
func TestResumeVersion(t *testing.T) {
	now := time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)
	v := newTestView(t, func() time.Time { return now })
	if _, ok := v.resumeVersion(now, "targets"); ok {
		t.Error("nothing read yet: got a version, want none")
	}
	v.cacheList("targets", object.List{Version: 7})
	if _, ok := v.resumeVersion(now, "targets"); ok {
		t.Error("a list whose relay may have read it long ago: got a version, want none")
	}
	v.cacheEvent("targets", object.Event{Type: object.Put, Object: object.Object{Kind: "targets", Name: "i-1", Version: 9}})
	if got, ok := v.resumeVersion(now, "targets"); got != 9 || !ok {
		t.Errorf("a recent change: got version %d (%t), want 9", got, ok)
	}
	if _, ok := v.resumeVersion(now.Add(resumeAge+time.Millisecond), "targets"); ok {
		t.Error("an old change: got a version, want none")
	}
}

// TestFollowerReturnsToItsRelay guards against a node that reads the store for as long as it follows a relay because its view was too old once.
func TestFollowerReturnsToItsRelay(t *testing.T) {
	v := newTestView(t, time.Now)
	address := fakePeer{versions: map[string]object.Version{"other": 1}}.serve(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_ = v.followRelay(ctx, registry.Node{Name: "relay", Datacentre: "a", Address: address}, newRelayRace())
	}()
	await := func(when string) {
		t.Helper()
		limit, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		if err := v.source.awaitMode(limit, fromRelay); err != nil {
			t.Fatalf("%s: got no changes from the relay in 2 s, want them", when)
		}
	}
	await("at first")
	v.source.set(fromStore)
	await("after the store was read")
}

// TestRelayRace covers that only the first relay that answers is followed, and that the other attempts end.
func TestRelayRace(t *testing.T) {
	race := newRelayRace()
	attempts := map[string]context.Context{}
	enter := func(name string) {
		ctx, cancel := context.WithCancelCause(t.Context())
		attempts[name] = ctx
		race.enter(name, cancel)
	}
	enter("first")
	enter("second")
	if race.isWon() {
		t.Error("got a race that is won before any relay has answered")
	}
	for _, c := range []struct {
		name string
		want bool
	}{{"second", true}, {"first", false}, {"second", true}} {
		if got := race.claim(c.name); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
	enter("late")
	for name, want := range map[string]error{"first": errRelayNotNeeded, "second": nil, "late": errRelayNotNeeded} {
		if got := context.Cause(attempts[name]); got != want {
			t.Errorf("%s: got the end %v, want %v", name, got, want)
		}
	}
}
