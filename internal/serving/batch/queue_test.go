package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func piece(g Group) Piece { return Piece{Group: &g} }

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func names(list []Piece) string {
	s := ""
	for _, p := range list {
		s += p.Request
	}
	return s
}

// TestTakeOrder covers a burst: late pieces, urgent and less urgent ones wait for one call.
func TestTakeOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		pieces []Piece
		size   int
		want   string
	}{
		{"earlier objective first", []Piece{piece(Group{Request: "a", StartByObjective: at(20)}), piece(Group{Request: "b", StartByObjective: at(10)})}, 1, "b"},
		{"more urgent first", []Piece{piece(Group{Request: "a", StartByObjective: at(10), Priority: 2}), piece(Group{Request: "b", StartByObjective: at(20)})}, 1, "b"},
		{"late pieces after those on time", []Piece{piece(Group{Request: "a", StartByObjective: at(-10)}), piece(Group{Request: "b", StartByObjective: at(20), Priority: 2})}, 1, "b"},
		{"late pieces fill up the call", []Piece{piece(Group{Request: "a", StartByObjective: at(-10)}), piece(Group{Request: "b", StartByObjective: at(20)})}, 2, "ba"},
		{"no more than the size", []Piece{piece(Group{Request: "a", StartByObjective: at(1)}), piece(Group{Request: "b", StartByObjective: at(2)}), piece(Group{Request: "c", StartByObjective: at(3)})}, 2, "ab"},
		{"no more than the space", []Piece{piece(Group{Request: "a", StartByObjective: at(1), ResultBytes: 90}), piece(Group{Request: "b", StartByObjective: at(2), ResultBytes: 20}), piece(Group{Request: "c", StartByObjective: at(3), ResultBytes: 5})}, 3, "ac"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue
			q.Add(c.pieces...)
			if got := names(q.Take(start, c.size, 100, "x", nil)); got != c.want {
				t.Errorf("got call of %q, want %q", got, c.want)
			}
		})
	}
}

func TestTakeLeavesLargePiecesToPreferredDatacentre(t *testing.T) {
	large := piece(Group{Request: "a", StartByObjective: at(500), PreferUntil: at(400), PreferredDatacentre: "near", TransferBytes: largeTransfer})
	for _, c := range []struct {
		name    string
		piece   Piece
		targets map[string]datacentreTargets
		want    string
	}{
		{"preferred is free in time", large, map[string]datacentreTargets{"near": {1, at(300)}}, ""},
		{"preferred is free too late", large, map[string]datacentreTargets{"near": {1, at(450)}}, "a"},
		{"preferred has no targets", large, nil, "a"},
		{"small transfer", piece(Group{Request: "a", StartByObjective: at(500), PreferUntil: at(400), PreferredDatacentre: "near", TransferBytes: largeTransfer - 1}), map[string]datacentreTargets{"near": {1, at(0)}}, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue
			q.Add(c.piece)
			if got := names(q.Take(start, 4, 100, "far", c.targets)); got != c.want {
				t.Errorf("got call of %q, want %q", got, c.want)
			}
		})
	}
}

func TestExpire(t *testing.T) {
	var q Queue
	q.Add(piece(Group{Request: "a", StartByDeadline: at(-1)}), piece(Group{Request: "b", StartByDeadline: at(1)}))
	if got, want := names(q.Expire(start)), "a"; got != want {
		t.Errorf("got %q expired, want %q", got, want)
	}
	if got, want := q.Len(), 1; got != want {
		t.Errorf("got %d pieces left, want %d", got, want)
	}
}

func openings(free []time.Time) []Opening {
	var list []Opening
	for _, at := range free {
		list = append(list, Opening{At: at})
	}
	return list
}

func TestEstimateStart(t *testing.T) {
	profile := route.BatchProfile{MaxSize: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond}
	for _, c := range []struct {
		name    string
		waiting int
		n       int
		free    []time.Time
		want    time.Time
	}{
		{"free target", 0, 4, []time.Time{at(-5)}, start},
		{"target in a call", 0, 1, []time.Time{at(100)}, at(100)},
		{"behind two calls", 8, 1, []time.Time{at(100)}, at(100 + 2*240)},
		{"two targets share the queue", 8, 1, []time.Time{at(100), at(100)}, at(100 + 240)},
		{"a group of two calls", 0, 5, []time.Time{at(0)}, at(240)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue
			for range c.waiting {
				q.Add(piece(Group{}))
			}
			got, ok := q.EstimateStart(start, c.n, 1, profile, openings(c.free))
			if !ok || !got.Equal(c.want) {
				t.Errorf("got start %s (%t), want %s", got.Sub(start), ok, c.want.Sub(start))
			}
		})
	}
	var q Queue
	if _, ok := q.EstimateStart(start, 1, 1, profile, nil); ok {
		t.Error("got a start without targets, want none")
	}
}

// TestExpireStarved covers a long burst: ten pieces wait for one target, and the less urgent ones cannot start before
// their callers leave.
func TestExpireStarved(t *testing.T) {
	profile := route.BatchProfile{MaxSize: 2, CallTime: 200 * time.Millisecond}
	var q Queue
	for i := range 10 {
		p := piece(Group{Request: string(rune('a' + i)), StartByObjective: at(5000), StartByDeadline: at(900), Priority: i % 2})
		q.Add(p)
	}
	got := names(q.ExpireStarved(start, profile, []Opening{{At: at(100)}}, 1, &roomTimeline{now: start, used: map[int64]int64{}}))
	// Calls start at 100, 300, 500, 700 and 900 ms; two pieces fit into each.
	if want := ""; got != want {
		t.Errorf("got %q expired, want %q", got, want)
	}
	got = names(q.ExpireStarved(start, profile, []Opening{{At: at(400)}}, 1, &roomTimeline{now: start, used: map[int64]int64{}}))
	// Calls start at 400, 600 and 800 ms.
	if want := "dfhj"; got != want {
		t.Errorf("got %q expired, want the least urgent, %q", got, want)
	}
	if got, want := q.Len(), 6; got != want {
		t.Errorf("got %d pieces left, want %d", got, want)
	}
}

// TestSuspectPiecesGoAlone covers pieces under which targets have crashed among others.
func TestSuspectPiecesGoAlone(t *testing.T) {
	now := time.Now()
	piece := func(id uint64, urgency time.Duration, alone bool) Piece {
		g := &Group{StartByObjective: now.Add(urgency), StartByDeadline: now.Add(time.Minute)}
		return Piece{Group: g, GroupID: id, Alone: alone}
	}
	var q Queue
	q.Add(piece(1, 3*time.Second, false), piece(2, 2*time.Second, true), piece(3, time.Second, false), piece(2, 2*time.Second, true), piece(4, 4*time.Second, false))
	for _, want := range [][]uint64{{3, 1, 4}, {2, 2}} {
		var got []uint64
		for _, p := range q.Take(now, 10, 1000, "", nil) {
			got = append(got, p.GroupID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("got a call with the groups %v, want %v", got, want)
		}
	}
}
