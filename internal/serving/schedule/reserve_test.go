package schedule

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

func TestReserveForLaterStages(t *testing.T) {
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	s := StageGraph{
		Stages:      []route.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{1}}, {Service: "d"}},
		PieceCounts: []int{1, 1, 1, 1},
	}
	for _, tt := range []struct {
		name        string
		stage       int
		least, want time.Duration
	}{
		{"equal shares of the slack", 0, 900 * time.Millisecond, 300 * time.Millisecond},
		{"one later stage", 1, 900 * time.Millisecond, 450 * time.Millisecond},
		{"bounded", 0, 4 * time.Second, 3 * time.Second},
		{"last stage", 2, 900 * time.Millisecond, 900 * time.Millisecond},
		{"stage without a later one", 3, 900 * time.Millisecond, 900 * time.Millisecond},
		{"already late", 0, -100 * time.Millisecond, -100 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := s.ReserveForLaterStages(now, tt.stage, now.Add(tt.least)).Sub(now); got != tt.want {
				t.Errorf("got a start within %s, want %s", got, tt.want)
			}
		})
	}
}
