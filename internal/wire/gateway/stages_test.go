package gateway

import (
	"slices"
	"testing"
	"time"

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

// TestStageStartsBeforeItsInputsExpire guards against calls whose pieces find their inputs gone, since they have waited longer than these stay.
func TestStageStartsBeforeItsInputsExpire(t *testing.T) {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	byDeadline := now.Add(6 * time.Second)
	graph := schedule.StageGraph{
		Stages:       []route.Stage{{Service: "a"}, {Service: "b"}, {Service: "c", DependsOn: []int{0, 1}}},
		BatchProfile: func(string) route.BatchProfile { return route.BatchProfile{} },
	}
	for _, tt := range []struct {
		name   string
		expire [2]time.Duration
		want   time.Duration
	}{
		{"no input expires", [2]time.Duration{}, 6 * time.Second},
		{"one expires before the deadline", [2]time.Duration{9 * time.Second, 4 * time.Second}, 4 * time.Second},
		{"all expire after the deadline", [2]time.Duration{9 * time.Second, 7 * time.Second}, 6 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sr := newStageRun(graph, "")
			for i, d := range tt.expire {
				if d > 0 {
					sr.expireAt[i] = now.Add(d)
				}
			}
			if got := sr.latestStart(2, byDeadline).Sub(now); got != tt.want {
				t.Errorf("got a start within %s, want %s", got, tt.want)
			}
		})
	}
}
