package schedule

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// TestPreferredDatacentre covers a chain whose second stage makes four results that each of ten pieces of the third
// stage fetches.
func TestPreferredDatacentre(t *testing.T) {
	s := StageGraph{
		Stages:      []route.Stage{{Service: "a", ResultBytes: 8000}, {Service: "b", DependsOn: []int{0}, ResultBytes: 60000}, {Service: "c", DependsOn: []int{1}, ResultBytes: 6000}},
		PieceCounts: []int{1, 4, 10},
	}
	for _, c := range []struct {
		name    string
		stage   int
		results []map[string]int
		want    string
		bytes   int64
	}{
		{"first stage anywhere", 0, []map[string]int{{}, {}, {}}, "", 0},
		{"second stage at its input", 1, []map[string]int{{"x": 1}, {}, {}}, "x", 8000},
		{"third stage at most of its inputs", 2, []map[string]int{{"x": 1}, {"x": 3, "y": 1}, {}}, "x", 180000},
		{"last stage at its inputs, not at the target", 2, []map[string]int{{"x": 1}, {"x": 4}, {}}, "x", 240000},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, bytes := s.PreferredDatacentre(c.stage, c.results, "z")
			if got != c.want || bytes != c.bytes {
				t.Errorf("got %q and %d bytes, want %q and %d", got, bytes, c.want, c.bytes)
			}
		})
	}
	only := StageGraph{Stages: []route.Stage{{Service: "a", ResultBytes: 1500000}}, PieceCounts: []int{2}}
	if got, bytes := only.PreferredDatacentre(0, []map[string]int{{}}, "z"); got != "z" || bytes != 1500000 {
		t.Errorf("only stage: got %q and %d bytes, want it at the target", got, bytes)
	}
}

func TestPreferUntilLeavesTimeForLaterStages(t *testing.T) {
	s := StageGraph{
		Stages:      []route.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{1}}},
		PieceCounts: []int{1, 1, 0},
	}
	startByObjective := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for i, want := range []time.Duration{2 * preferMargin, preferMargin, preferMargin} {
		if got := startByObjective.Sub(s.PreferUntil(i, startByObjective)); got != want {
			t.Errorf("stage %d: got %s before its start by objective, want %s", i, got, want)
		}
	}
}
