package quarantine

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

// TestTurns covers when each node of a fleet may send a request that targets have crashed under.
func TestTurns(t *testing.T) {
	const ms = time.Millisecond
	bad := request("bad")[0]
	type seen struct {
		node  string
		at    time.Duration
		run   int
		known bool
	}
	tests := []struct {
		name    string
		strikes []seen
		// published are the runs in the report of n-1 that all nodes can read, cleared those that a response speaks against.
		published, cleared []int
		// want is when n-1 may send the request.
		want time.Duration
	}{
		{name: "no report is written yet", strikes: []seen{{node: "n-1"}}, want: reportTime},
		{name: "report is published", strikes: []seen{{node: "n-1"}}, published: []int{0}},
		{name: "a second crash is not published yet", strikes: []seen{{node: "n-1"}, {node: "n-1", at: 50 * ms, run: 1}}, published: []int{0}, want: 50*ms + reportTime},
		{name: "another node has reported the same crash", strikes: []seen{{node: "n-1"}, {node: "n-2", at: 5 * ms}}},
		{name: "first of two", strikes: []seen{{node: "n-1"}, {node: "n-2", at: 30 * ms, run: 1}}, published: []int{0}, want: 30 * ms},
		{name: "second of two", strikes: []seen{{node: "n-2"}, {node: "n-1", at: 30 * ms, run: 1}}, published: []int{1}, want: 30*ms + reportTime},
		{name: "at the same time, by name", strikes: []seen{{node: "n-0"}, {node: "n-1", run: 1}}, published: []int{1}, want: reportTime},
		{name: "only another node has seen a crash", strikes: []seen{{node: "n-2"}}},
		{name: "third of three", strikes: []seen{{node: "n-2"}, {node: "n-3", at: 10 * ms, run: 1}, {node: "n-1", at: 20 * ms}}, want: 10*ms + 2*reportTime},
		{name: "behind more nodes than may send it", strikes: []seen{{node: "n-2"}, {node: "n-3"}, {node: "n-4"}, {node: "n-1", at: ms, run: 1}}, published: []int{1}, want: ms + (clearCrashes-1)*reportTime},
		{name: "answered before", strikes: []seen{{node: "n-2", known: true}}},
		{name: "answered since", strikes: []seen{{node: "n-2"}, {node: "n-1", at: 30 * ms, run: 1}}, published: []int{1}, cleared: []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Board
			for _, s := range tt.strikes {
				at := start.Add(s.at)
				b = b.With(at, s.node, b.Report(s.node).WithStrike(Strike{Trait: bad, Run: runOf(s.run), At: at, Known: s.known}))
			}
			var published Report
			for _, run := range tt.published {
				published = published.WithStrike(Strike{Trait: bad, Run: runOf(run), At: start})
			}
			for _, run := range tt.cleared {
				r := b.Report("n-9").WithClearance(Clearance{Trait: bad, Runs: []notice.Target{runOf(run)}, At: start})
				b = b.With(start.Add(time.Second), "n-9", r)
			}
			got := b.WithPublished(published).turnAt(start.Add(time.Second), "n-1", bad)
			if want := start.Add(tt.want); got.After(want) || (tt.want > 0 && !got.Equal(want)) {
				t.Errorf("got the turn of n-1 %s after the first crash, want %s", got.Sub(start), tt.want)
			}
		})
	}
}

// TestHeldRequestHearsOfReports covers a request that waits for its turn while the report of another node arrives.
func TestHeldRequestHearsOfReports(t *testing.T) {
	k, other := newTestKeeper(&keeperLog{}), newTestKeeper(&keeperLog{})
	other.SetKey(start, k.Key())
	k.RecordCrash(start, runOf(0), plain("bad"), false)
	for i := range 2 {
		other.RecordCrash(start, runOf(1+i), plain("bad"), false)
	}
	changed := k.Changed()
	if d, ok := k.Decide(start, plain("bad")).(SendAlone); !ok || !start.Before(d.HoldUntil) {
		t.Error("got a request sent before its crash was reported, want it held")
	}
	k.Merge(start, "n-2", other.Own(start))
	select {
	case <-changed:
	default:
		t.Error("got no news of a report, want the channel closed")
	}
	if _, ok := check(k, start, plain("bad")); !ok {
		t.Error("got a request with three crashes sent or held, want it rejected")
	}
}
