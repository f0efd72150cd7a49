package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

func fleet(n int) []registry.Node {
	var list []registry.Node
	for i := range n {
		link := 10.0
		if i%8 == 0 {
			link = 200
		}
		list = append(list, registry.Node{Name: fmt.Sprintf("n%d", i), Datacentre: string(rune('a' + i%2)), LinkMbps: link})
	}
	return list
}

func TestRelaysFor(t *testing.T) {
	for _, c := range []struct {
		name string
		self string
		n    int
		want int
	}{
		{"small fleet", "n1", 15, 0},
		{"large fleet, two relays and one elsewhere", "n3", 32, 3},
		{"unlisted node", "x", 32, 0},
	} {
		if got := len(RelaysFor(c.self, fleet(c.n))); got != c.want {
			t.Errorf("%s: got %d relays, want %d", c.name, got, c.want)
		}
	}
	direct := 0
	for _, n := range fleet(64) {
		relays := RelaysFor(n.Name, fleet(64))
		if len(relays) == 0 {
			direct++
		}
		for i, r := range relays {
			if isLocal, want := r.Datacentre == n.Datacentre, i < relaysPerDatacentre; isLocal != want {
				t.Errorf("node in %s: got relay %d in %s, want the first %d and only these in the same data centre", n.Datacentre, i, r.Datacentre, relaysPerDatacentre)
			}
			if r.Datacentre == "a" && r.LinkMbps != 200 {
				t.Errorf("relay %s: got a link of %v Mbps, want 200", r.Name, r.LinkMbps)
			}
		}
	}
	if got, want := direct, 4; got != want {
		t.Errorf("got %d of 64 nodes that watch the store, want %d", got, want)
	}
}

func TestPeersFor(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
	}{{"small fleet", 6}, {"fleet with relays", 64}, {"single node", 1}} {
		t.Run(c.name, func(t *testing.T) {
			nodes := fleet(c.n)
			self := nodes[0]
			got := PeersFor(self, nodes)
			if want := min(maxPeers, c.n-1); len(got) != want {
				t.Fatalf("got %d peers, want %d", len(got), want)
			}
			for i, p := range got {
				if p.Name == self.Name {
					t.Errorf("got the node itself as a peer")
				}
				if i == 0 && p.Datacentre != self.Datacentre {
					t.Errorf("got the first peer in %s, want it in %s", p.Datacentre, self.Datacentre)
				}
				if c.n >= minFleetSize && len(RelaysFor(p.Name, nodes)) > 0 {
					t.Errorf("got %s, want only nodes that read the store", p.Name)
				}
			}
		})
	}
}

func TestMaxStoreAge(t *testing.T) {
	for _, c := range []struct{ applyTime, want time.Duration }{
		{0, minStoreAge}, {2 * time.Second, minStoreAge}, {3 * time.Second, 1800 * time.Millisecond}, {4 * time.Second, maxStoreAge},
	} {
		if got := MaxStoreAge(c.applyTime); got != c.want {
			t.Errorf("changes in force within %s: got %s, want %s", c.applyTime, got, c.want)
		}
	}
}

// TestReadAge guards against a node that reads the store itself only once a change has to be in force.
func TestReadAge(t *testing.T) {
	for _, c := range []struct{ applyTime, want time.Duration }{
		{0, 2200 * time.Millisecond}, {2 * time.Second, minStoreAge}, {3 * time.Second, 2200 * time.Millisecond}, {4 * time.Second, 2800 * time.Millisecond},
	} {
		got := ReadAge(c.applyTime)
		if got != c.want {
			t.Errorf("changes in force within %s: got %s, want %s", c.applyTime, got, c.want)
		}
		if oldest := MaxStoreAge(c.applyTime) + JoinGrace(c.applyTime, 0); oldest > got {
			t.Errorf("changes in force within %s: got a relay followed at an age of %s, want it left after %s", c.applyTime, oldest, got)
		}
		if got := JoinGrace(c.applyTime, joinGrace); got != 0 {
			t.Errorf("changes in force within %s: got %s of grace for a relay that has been followed, want none", c.applyTime, got)
		}
	}
}

func TestReportFresh(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		age      time.Duration
		storeAge time.Duration
		want     bool
	}{
		{"just received", 0, 900 * time.Millisecond, true},
		{"heartbeat timeout exceeded", 1100 * time.Millisecond, 0, false},
		{"relay without contact to the store", 0, 1500 * time.Millisecond, false},
		{"sum of both ages too large", 800 * time.Millisecond, 800 * time.Millisecond, false},
	} {
		if got := (Report{ReceivedAt: now.Add(-c.age), StoreAge: c.storeAge, MaxStoreAge: MaxStoreAge(2 * time.Second)}).Fresh(now); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

func list(version object.Version, objects string) object.List {
	l := object.List{Version: version}
	for _, f := range strings.Fields(objects) {
		var o object.Object
		_, _ = fmt.Sscanf(f, "%1s%d", &o.Name, &o.Version)
		l.Items = append(l.Items, o)
	}
	return l
}

func text(l object.List) string {
	var parts []string
	for _, o := range l.Items {
		parts = append(parts, fmt.Sprintf("%s%d", o.Name, o.Version))
	}
	return strings.Join(parts, " ")
}

func TestMergeLists(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b object.List
		want string
	}{
		{"newer object", list(5, "a1"), list(9, "a7"), "a7"},
		{"older object", list(9, "a7"), list(5, "a1"), "a7"},
		{"object missing in the older list", list(5, "a1"), list(9, "a1 b7"), "a1 b7"},
		{"removed since the older list", list(5, "a1 b2"), list(9, "a1"), "a1"},
		{"removed before the newer list, still in the older", list(9, "a1"), list(5, "a1 b2"), "a1"},
		{"created after the older list", list(9, "a1 b7"), list(5, "a1"), "a1 b7"},
	} {
		if got := text(MergeLists(c.a, c.b)); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
