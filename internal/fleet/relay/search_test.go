package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// condition is what is wrong with a node of a replay.
type condition string

const (
	sound    condition = ""
	late     condition = "late"
	gone     condition = "gone"
	silent   condition = "silent"
	rejected condition = "rejected"
)

// roles are the lists of a fleet that its searches use, by node.
type roles struct {
	nodes               []registry.Node
	ranked              map[string][]registry.Node
	relays, substitutes map[string][]registry.Node
}

func rolesOf(size int) roles {
	f := roles{nodes: fleet(size), ranked: map[string][]registry.Node{}, relays: map[string][]registry.Node{}, substitutes: map[string][]registry.Node{}}
	for datacentre, local := range groupByDatacentre(f.nodes) {
		f.ranked[datacentre] = relaysOf(local, len(local))
	}
	for _, n := range f.nodes {
		f.relays[n.Name], f.substitutes[n.Name] = RelaysFor(n.Name, f.nodes), SubstitutesFor(n.Name, f.nodes)
	}
	return f
}

// replay is a fleet whose relays' views have become stale at every follower at the same moment.
type replay struct {
	start time.Time
	nodes []registry.Node
	// conditions are those of the nodes that are not sound, by name; late nodes are fresh lateFor after the start.
	conditions map[string]condition
	lateFor    time.Duration
	// readTime is how long a read of the store takes.
	readTime time.Duration

	searches map[string]*Search
	askers   map[string][]string
	readAt   map[string]time.Time
	freshAt  map[string]time.Time
}

// hopTime is how long a message between two nodes takes, reportInterval how often a stale node reports to those that ask it.
const (
	hopTime        = 2 * time.Millisecond
	reportInterval = 100 * time.Millisecond
)

func newReplay(f roles, conditionOf func(datacentre string, rank int) condition) *replay {
	r := &replay{
		start: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC), nodes: f.nodes, conditions: map[string]condition{}, readTime: 4 * time.Millisecond,
		searches: map[string]*Search{}, askers: map[string][]string{}, readAt: map[string]time.Time{}, freshAt: map[string]time.Time{},
	}
	for datacentre, ranked := range f.ranked {
		for rank, n := range ranked {
			r.conditions[n.Name] = conditionOf(datacentre, rank)
		}
	}
	for _, n := range r.nodes {
		c := r.conditions[n.Name]
		if c == gone || c == silent || (len(f.relays[n.Name]) == 0 && len(r.nodes) >= minFleetSize) {
			continue
		}
		r.searches[n.Name] = NewSearch(f.relays[n.Name], f.substitutes[n.Name], r.start)
	}
	return r
}

// isFresh reports whether a node that is asked has a fresh view to give at now.
func (r *replay) isFresh(name string, now time.Time) bool {
	if r.searches[name] == nil {
		return r.conditions[name] == sound || (r.conditions[name] == late && now.Sub(r.start) >= r.lateFor)
	}
	readAt, ok := r.readAt[name]
	return ok && r.conditions[name] != rejected && now.Sub(readAt) >= r.readTime
}

// mustBeFresh reports whether a node can have a fresh view: the store serves it, or others read it for the node.
func (r *replay) mustBeFresh(name string) bool {
	return r.searches[name] != nil && r.conditions[name] != rejected
}

func (r *replay) allFresh() bool {
	return !slices.ContainsFunc(r.nodes, func(n registry.Node) bool {
		_, ok := r.freshAt[n.Name]
		return r.mustBeFresh(n.Name) && !ok
	})
}

// run replays the searches until every node has a fresh view, a millisecond at a time.
func (r *replay) run(timeout time.Duration) {
	asked := map[[2]string]time.Time{}
	for now := r.start; now.Sub(r.start) < timeout && !r.allFresh(); now = now.Add(time.Millisecond) {
		for _, n := range r.nodes {
			s := r.searches[n.Name]
			if _, isFresh := r.freshAt[n.Name]; s == nil || isFresh {
				continue
			}
			if r.isFresh(n.Name, now) {
				r.freshAt[n.Name] = now
				continue
			}
			for _, other := range r.askers[n.Name] {
				since := now.Sub(asked[[2]string{n.Name, other}])
				switch c := r.conditions[other]; {
				case c == silent || since < hopTime:
				case c == gone:
					s.RecordLost(other)
				case r.isFresh(other, now.Add(-hopTime)):
					r.freshAt[n.Name] = now
				case since%reportInterval == hopTime:
					s.RecordStale(now, other, true)
				}
			}
			if _, hasRead := r.readAt[n.Name]; hasRead || !r.freshAt[n.Name].IsZero() {
				continue
			}
			for isAsking := true; isAsking; {
				step := s.Next(now)
				ask, ok := step.(Ask)
				if isAsking = ok; ok {
					r.askers[n.Name] = append(r.askers[n.Name], ask.Node.Name)
					asked[[2]string{n.Name, ask.Node.Name}] = now
				}
				if step == (Read{}) {
					r.readAt[n.Name] = now
				}
			}
		}
	}
}

// TestSearchReadsStoreOnceForAll replays the moment at which the views of all relays are stale: few nodes read the store, and
// every node has a fresh view within the time that is left for a change to be in force.
func TestSearchReadsStoreOnceForAll(t *testing.T) {
	const applyTime = 2 * time.Second
	timeLeft := applyTime - MaxStoreAge(applyTime)
	relaysAre := func(c condition, others ...condition) func(string, int) condition {
		return func(_ string, rank int) condition {
			switch {
			case rank < relaysPerDatacentre:
				return c
			case rank-relaysPerDatacentre < len(others):
				return others[rank-relaysPerDatacentre]
			}
			return sound
		}
	}
	fleets := []roles{rolesOf(6), rolesOf(60), rolesOf(340)}
	for _, c := range []struct {
		name        string
		conditionOf func(datacentre string, rank int) condition
		lateFor     time.Duration
		readTime    time.Duration
		// reads is the number of nodes of each data centre that may read the store, -1 for all.
		reads int
	}{
		{"first relays gone, others fresh", func(_ string, rank int) condition {
			if rank == 0 {
				return gone
			}
			return sound
		}, 0, 0, 0},
		{"relays of one data centre rejected", func(datacentre string, rank int) condition {
			if datacentre == "a" && rank < relaysPerDatacentre {
				return rejected
			}
			return sound
		}, 0, 0, 0},
		{"relays late", relaysAre(late), 300 * time.Millisecond, 0, 1},
		{"relays late, slow store", relaysAre(late), 300 * time.Millisecond, 100 * time.Millisecond, 1},
		{"relays rejected", relaysAre(rejected), 0, 0, 1},
		{"relays gone", relaysAre(gone), 0, 0, 1},
		{"relays silent", relaysAre(silent), 0, 0, 1},
		{"relays and substitutes gone", relaysAre(gone, gone, gone), 0, 0, 1},
		{"first substitute rejected", relaysAre(rejected, rejected), 0, 0, 2},
		{"first substitute silent", relaysAre(rejected, silent), 0, 0, 1},
		{"relays and substitutes silent", relaysAre(silent, silent, silent), 0, 0, 2},
		{"both substitutes rejected", relaysAre(rejected, rejected, rejected), 0, 0, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, f := range fleets {
				r, size := newReplay(f, c.conditionOf), len(f.nodes)
				r.lateFor, r.readTime = c.lateFor, max(r.readTime, c.readTime)
				r.run(time.Second)
				reads := map[string]int{}
				for _, n := range r.nodes {
					if _, ok := r.readAt[n.Name]; ok {
						reads[n.Datacentre]++
					}
					if !r.mustBeFresh(n.Name) {
						continue
					}
					freshAt, ok := r.freshAt[n.Name]
					if got := freshAt.Sub(r.start); !ok || got > timeLeft {
						t.Errorf("%d nodes: %s has a fresh view after %s (%t), want one within %s", size, n.Name, got, ok, timeLeft)
					}
				}
				for datacentre, local := range f.ranked {
					want := c.reads
					if want < 0 || size < minFleetSize {
						want = len(local)
					}
					if got := reads[datacentre]; got > want {
						t.Errorf("%d nodes: %d of %d nodes in %s read the store, want at most %d", size, got, len(local), datacentre, want)
					}
				}
			}
		})
	}
}

func TestHasReader(t *testing.T) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	node := registry.Node{Name: "n1"}
	for _, c := range []struct {
		name   string
		record func(*Search)
		want   bool
	}{
		{"has not answered", func(*Search) {}, false},
		{"reads the store", func(s *Search) { s.RecordStale(now, "n1", true) }, true},
		{"follows another node", func(s *Search) { s.RecordStale(now, "n1", false) }, false},
		{"lost since", func(s *Search) { s.RecordStale(now, "n1", true); s.RecordLost("n1") }, false},
		{"silent since", func(s *Search) { s.RecordStale(now.Add(-heartbeatTimeout), "n1", true) }, false},
	} {
		for _, list := range [][][]registry.Node{{{node}, nil}, {nil, {node}}} {
			s := NewSearch(list[0], list[1], now)
			if got, want := s.Next(now), (Ask{node}); got != want {
				t.Fatalf("%s: got step %v, want %v", c.name, got, want)
			}
			c.record(s)
			if got := s.HasReader(now); got != c.want {
				t.Errorf("%s: got %t, want %t", c.name, got, c.want)
			}
		}
	}
}

func TestOutageRetry(t *testing.T) {
	for _, c := range []struct {
		random float64
		want   time.Duration
	}{{0, 4 * time.Second}, {0.5, 5 * time.Second}} {
		if got := OutageRetry(c.random); got != c.want {
			t.Errorf("random number %v: got %s, want %s", c.random, got, c.want)
		}
	}
}

func TestSubstitutesFor(t *testing.T) {
	nodes := fleet(64)
	ranked := relaysOf(groupByDatacentre(nodes)["a"], 32)
	for _, c := range []struct {
		name string
		self string
		want []registry.Node
	}{
		{"relay", ranked[0].Name, ranked[2:10]},
		{"first substitute", ranked[2].Name, ranked[2:2]},
		{"third substitute", ranked[4].Name, ranked[2:4]},
		{"any other node", ranked[31].Name, ranked[2:10]},
		{"unlisted node", "x", nil},
	} {
		if got := SubstitutesFor(c.self, nodes); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if got := SubstitutesFor("n1", fleet(15)); got != nil {
		t.Errorf("small fleet: got %v, want none", got)
	}
}
