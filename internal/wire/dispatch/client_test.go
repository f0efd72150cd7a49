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

// TestRefusalsOfDispatchers tells nodes that decline or whose process is gone, which are asked again soon, from unresponsive
// machines.
func TestRefusalsOfDispatchers(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"process is gone", status.Error(codes.Unavailable, "error reading from server: EOF"), true},
		{"dispatcher declines", errDeclined, true},
		{"machine does not respond", errUnresponsive, false},
	} {
		if got := isImmediateRefusal(c.err); got != c.want {
			t.Errorf("%s: got a refusal %t, want %t", c.name, got, c.want)
		}
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
