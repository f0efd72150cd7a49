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
	small := registry.New().WithTargets(many[:shardFrom-1], time.Time{})
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
		t.Errorf("data centre is out: first shards are %v, want the others evenly", first)
	}
}

func TestANodeThatHasStartedAgainIsNotPassedOver(t *testing.T) {
	now := time.Now()
	x := shun{born: 1, until: now.Add(time.Minute)}
	if !x.passes(now, registry.Node{Name: "n", StartedAt: 1}) {
		t.Error("a node that did not answer is asked again at once")
	}
	if x.passes(now, registry.Node{Name: "n", StartedAt: 2}) {
		t.Error("a node that has started again is passed over")
	}
}

// TestManyGroupsOfALostDeskAreOneFailure replays a desk whose process ends with ten groups under way, and one whose
// machine falls silent.
func TestManyGroupsOfALostDeskAreOneFailure(t *testing.T) {
	asked := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	node := registry.Node{Name: "n", StartedAt: 1}
	closed := status.Error(codes.Unavailable, "error reading from server: EOF")
	for _, c := range []struct {
		name string
		err  error
		want time.Duration
	}{
		{"process is gone", closed, shunRefused},
		{"desk declines", errDeclined, shunRefused},
		{"machine is silent", errSilent, shunSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x shun
			now := asked.Add(300 * time.Millisecond)
			for i := range 10 {
				x = x.after(asked.Add(time.Duration(i)*time.Millisecond), now, node, c.err)
			}
			if got := x.until.Sub(now); got != c.want {
				t.Errorf("passed over for %s after ten groups, want %s", got, c.want)
			}
		})
	}
	var x shun
	for range 3 {
		x = x.after(x.until.Add(time.Second), x.until.Add(2*time.Second), node, errSilent)
	}
	if got, want := x.until.Sub(x.from), 4*shunSilent; got != want {
		t.Errorf("passed over for %s after three failures one after the other, want %s", got, want)
	}
}

// TestALeavingDeskSendsGroupsElsewhere replays a planned stop while the store is away: other nodes learn of it from the
// desk itself, and groups that it has are still made.
func TestALeavingDeskSendsGroupsElsewhere(t *testing.T) {
	r := registry.New().WithTargets([]registry.Target{target("t1", "a")}, time.Time{}).WithNodes([]registry.Node{{Name: "self", Datacentre: "a"}, {Name: "other", Datacentre: "a"}})
	f := &fakeCaller{}
	d := newTestDesk(f, target("t1", "a"))
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewClient(ClientConfig{Self: "self", Local: d, Roster: func() *registry.Registry { return r }, Log: log, Now: time.Now})
	d.Drain()
	if err := d.CheckAccepting(); err != ErrDraining {
		t.Fatalf("got %v, want %v", err, ErrDraining)
	}
	service := ""
	for i := range 100 {
		if service = fmt.Sprint("s", i); s.desk(time.Now(), service, "") == "self" {
			break
		}
	}
	s.lost(time.Now(), registry.Node{Name: "self"}, batch.Group{}, errDeclined)
	if got, want := s.desk(time.Now(), service, ""), "other"; got != want {
		t.Errorf("got desk %q after the own one declined, want %q", got, want)
	}
	out, err := d.Produce(context.Background(), testGroup("r", 1, 1), noNotice)
	if err != nil || out[0].Reason != batch.Completed {
		t.Errorf("got %v (%v), want a leaving desk to make what nobody else takes", out, err)
	}
}
