package schedule

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

func TestRemainingTimes(t *testing.T) {
	profile := route.BatchProfile{MaxSize: 10, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond}
	s := StageGraph{
		Stages:       []route.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c"}},
		PieceCounts:  []int{1, 20, 0},
		BatchProfile: func(string) route.BatchProfile { return profile },
		FinalTime:    100 * time.Millisecond,
	}
	want := []time.Duration{210*time.Millisecond + 300*time.Millisecond + 100*time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond}
	for i, got := range s.RemainingTimes() {
		if got != want[i] {
			t.Errorf("stage %d: got remaining time %s, want %s", i, got, want[i])
		}
	}
}

func TestRetryAfterRejected(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		wait, left, want time.Duration
	}{
		{5 * time.Second, 6 * time.Second, 2 * time.Second},
		{0, time.Second, minRetryAfter},
	} {
		if got := RetryAfterRejected(now, c.wait, now.Add(c.left)); got != c.want {
			t.Errorf("wait %s, %s left: got %s, want %s", c.wait, c.left, got, c.want)
		}
	}
}

func TestRetryAfterDisplaced(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for _, left := range []time.Duration{time.Second, 6 * time.Second} {
		got := RetryAfterDisplaced(now, now.Add(left))
		if limit := left / 3; got > limit || got < left/5 {
			t.Errorf("%s left: got %s, want between a fifth and a third of it", left, got)
		}
	}
}
