package schedule

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// TestKeepsTheChainOfARequestInOneDataCentre replays a chain whose second stage makes four results that each of ten
// pieces of the third one fetches.
func TestKeepsTheChainOfARequestInOneDataCentre(t *testing.T) {
	s := StageGraph{
		Stages:      []route.Stage{{Service: "a", ResultBytes: 8000}, {Service: "b", DependsOn: []int{0}, ResultBytes: 60000}, {Service: "c", DependsOn: []int{1}, ResultBytes: 6000}},
		PieceCounts: []int{1, 4, 10},
	}
	for _, c := range []struct {
		name    string
		stage   int
		results []map[string]int
		home    string
		weight  int64
	}{
		{"first stage may be anywhere", 0, []map[string]int{{}, {}, {}}, "", 0},
		{"second stage is at its input", 1, []map[string]int{{"x": 1}, {}, {}}, "x", 8000},
		{"third stage is where most inputs are", 2, []map[string]int{{"x": 1}, {"x": 3, "y": 1}, {}}, "x", 180000},
		{"last stage is where its inputs are, not its target", 2, []map[string]int{{"x": 1}, {"x": 4}, {}}, "x", 240000},
	} {
		t.Run(c.name, func(t *testing.T) {
			home, weight := s.PreferredDatacentre(c.stage, c.results, "z")
			if home != c.home || weight != c.weight {
				t.Errorf("got %q and %d bytes, want %q and %d", home, weight, c.home, c.weight)
			}
		})
	}
	only := StageGraph{Stages: []route.Stage{{Service: "a", ResultBytes: 1500000}}, PieceCounts: []int{2}}
	if home, weight := only.PreferredDatacentre(0, []map[string]int{{}}, "z"); home != "z" || weight != 1500000 {
		t.Errorf("only stage: got %q and %d bytes, want it at the target", home, weight)
	}
}

func TestWaitsForHomeOnlyWhileTheLaterStagesHaveTime(t *testing.T) {
	s := StageGraph{
		Stages:      []route.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{1}}},
		PieceCounts: []int{1, 1, 0},
	}
	prompt := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for i, want := range []time.Duration{2 * stayMargin, stayMargin, stayMargin} {
		if got := prompt.Sub(s.PreferUntil(i, prompt)); got != want {
			t.Errorf("stage %d: stays until %s before its latest start, want %s", i, got, want)
		}
	}
}
