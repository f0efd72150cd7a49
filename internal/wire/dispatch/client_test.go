package dispatch

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

func TestShards(t *testing.T) {
	var many []registry.Target
	for i := range 18 {
		many = append(many, target(fmt.Sprintf("t%02d", i), string(rune('a'+i%3))))
	}
	large := registry.New().WithTargets(many, time.Time{})
	small := registry.New().WithTargets(many[:minShardedTargets-1], time.Time{})
	if got := Shards(small, "s", "a", "r"); len(got) != 1 || got[0] != "" {
		t.Errorf("small service: got shards %q, want one for all", got)
	}
	if got := Shards(large, "s", "b", "r"); len(got) != 3 || got[0] != "b" {
		t.Errorf("large service: got shards %q, want that of the data centre first", got)
	}
	first := map[string]int{}
	for i := range 300 {
		first[Shards(large.WithOutOfService([]string{"b"}), "s", "b", fmt.Sprint(i))[0]]++
	}
	if first["b"] > 0 || first["a"] < 100 || first["c"] < 100 {
		t.Errorf("data centre is out of service: got first shards %v, want the others evenly", first)
	}
}

func TestRestartEndsNodeBackoff(t *testing.T) {
	now := time.Now()
	b := nodeBackoff{startedAt: 1, until: now.Add(time.Minute)}
	if !b.inBackoff(now, registry.Node{Name: "n", StartedAt: 1}) {
		t.Error("node that did not respond is not in back-off")
	}
	if b.inBackoff(now, registry.Node{Name: "n", StartedAt: 2}) {
		t.Error("restarted node is in back-off")
	}
}

// TestConcurrentGroupFailuresCountOnce guards against counting one lost dispatcher several times: its process ends
// with ten groups under way, or its machine stops responding.
func TestConcurrentGroupFailuresCountOnce(t *testing.T) {
	sentAt := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	node := registry.Node{Name: "n", StartedAt: 1}
	closed := status.Error(codes.Unavailable, "error reading from server: EOF")
	for _, c := range []struct {
		name string
		err  error
		want time.Duration
	}{
		{"process is gone", closed, refusedBackoff},
		{"dispatcher declines", errDeclined, refusedBackoff},
		{"machine does not respond", errUnresponsive, unresponsiveBackoff},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b nodeBackoff
			now := sentAt.Add(300 * time.Millisecond)
			for i := range 10 {
				b = b.afterFailure(sentAt.Add(time.Duration(i)*time.Millisecond), now, node, c.err)
			}
			if got := b.until.Sub(now); got != c.want {
				t.Errorf("got a back-off of %s after ten groups, want %s", got, c.want)
			}
		})
	}
	var b nodeBackoff
	for range 3 {
		b = b.afterFailure(b.until.Add(time.Second), b.until.Add(2*time.Second), node, errUnresponsive)
	}
	if got, want := b.until.Sub(b.failedAt), 4*unresponsiveBackoff; got != want {
		t.Errorf("got a back-off of %s after three consecutive failures, want %s", got, want)
	}
}

// TestDrainingDispatcherSendsGroupsElsewhere covers a planned stop while the store is unavailable: other nodes learn
// of it from the dispatcher itself, and the groups that it already has still run.
func TestDrainingDispatcherSendsGroupsElsewhere(t *testing.T) {
	r := registry.New().WithTargets([]registry.Target{target("t1", "a")}, time.Time{}).WithNodes([]registry.Node{{Name: "self", Datacentre: "a"}, {Name: "other", Datacentre: "a"}})
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := NewClient(ClientConfig{Self: "self", Local: d, Registry: func() *registry.Registry { return r }, Notices: newTestKeeper(), Log: log, Now: time.Now})
	d.Drain()
	if err := d.CheckAccepting(); err != ErrDraining {
		t.Fatalf("got %v, want %v", err, ErrDraining)
	}
	service := ""
	for i := range 100 {
		if service = fmt.Sprint("s", i); c.dispatcherNode(time.Now(), service, "") == "self" {
			break
		}
	}
	c.recordFailure(time.Now(), registry.Node{Name: "self"}, batch.Group{}, errDeclined)
	if got, want := c.dispatcherNode(time.Now(), service, ""), "other"; got != want {
		t.Errorf("got dispatcher node %q after the local one declined, want %q", got, want)
	}
	out, err := d.Produce(context.Background(), testGroup("r", 1, 1), noCallbacks)
	if err != nil || out[0].Reason != batch.Completed {
		t.Errorf("got %v (%v), want a draining dispatcher to run what no other takes", out, err)
	}
}
