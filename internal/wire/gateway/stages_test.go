package gateway

import (
	"slices"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
)

// TestResultsAreFreedOnceRead covers a stage whose results two others read.
func TestResultsAreFreedOnceRead(t *testing.T) {
	graph := schedule.StageGraph{
		Stages:       []route.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{0}}},
		BatchProfile: func(string) route.BatchProfile { return route.BatchProfile{} },
	}
	type step struct {
		stage    int
		hasEnded bool
		// want are the nodes that are told to free results.
		want []string
	}
	tests := []struct {
		name    string
		hasRoom bool
		steps   []step
	}{
		{name: "no room: once both have fetched them", steps: []step{{stage: 1}, {stage: 2, want: []string{"n"}}, {stage: 1, hasEnded: true}, {stage: 2, hasEnded: true}}},
		{name: "no room: one has fetched them, one has ended", steps: []step{{stage: 1}, {stage: 1, hasEnded: true}, {stage: 2, hasEnded: true, want: []string{"n"}}}},
		{name: "room: once both have ended", hasRoom: true, steps: []step{{stage: 1}, {stage: 2}, {stage: 2, hasEnded: true}, {stage: 1, hasEnded: true, want: []string{"n"}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sr := newStageRun(graph, "")
			sr.held[0] = heldResults{node: "n", handles: []string{"t:1/1"}}
			sr.hasRoom[0] = tt.hasRoom
			for i, x := range tt.steps {
				var got []string
				for _, h := range sr.markRead(x.stage, x.hasEnded) {
					got = append(got, h.node)
				}
				if !slices.Equal(got, x.want) {
					t.Errorf("step %d: got results freed at %v, want %v", i, got, x.want)
				}
			}
		})
	}
}
