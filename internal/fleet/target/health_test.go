package target

import (
	"testing"
	"time"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bounds = Bounds{ColdLimit: 2, SuccessesPerStep: 4, WarmLimit: 16}
)

// answered returns the health after n complete responses of a latency.
func answered(h Health, n int, latency time.Duration) Health {
	for range n {
		h = h.Answered(start, latency, "boot-1", bounds)
	}
	return h
}

func warm() Health { return answered(New(bounds), 200, time.Millisecond) }

func TestLimitRisesStepByStep(t *testing.T) {
	tests := []struct {
		responses int
		wantLimit int
		wantPhase Phase
	}{
		{0, 2, Cold}, {3, 2, Cold}, {4, 4, Cold}, {7, 4, Cold}, {8, 8, Cold}, {15, 8, Cold}, {16, 16, Warm},
	}
	for _, tt := range tests {
		got := answered(New(bounds), tt.responses, time.Millisecond)
		if got.ConcurrencyLimit != tt.wantLimit || got.Phase != tt.wantPhase {
			t.Errorf("after %d responses: got %d %s, want %d %s", tt.responses, got.ConcurrencyLimit, got.Phase, tt.wantLimit, tt.wantPhase)
		}
	}
}

func TestEventsThatResetToCold(t *testing.T) {
	tests := []struct {
		name  string
		event func(Health) Health
		want  Phase
	}{
		{"none", func(h Health) Health { return h }, Warm},
		{"another boot", func(h Health) Health { return h.Booted("boot-2", bounds) }, Cold},
		{"refused connection", func(h Health) Health { return h.Unreached(start, bounds) }, Cold},
		{"two errors", func(h Health) Health { return h.Errored(start, bounds).Errored(start, bounds) }, Warm},
		{"three errors", func(h Health) Health {
			return h.Errored(start, bounds).Errored(start, bounds).Errored(start, bounds)
		}, Cold},
		{"eight slow responses", func(h Health) Health { return answered(h, 8, 80*time.Millisecond) }, Cold},
		{"seven slow responses", func(h Health) Health { return answered(h, 7, 80*time.Millisecond) }, Warm},
		{"idle for the maximum", func(h Health) Health { return h.Idled(start.Add(10*time.Minute), bounds) }, Cold},
		{"idle for less than the maximum", func(h Health) Health { return h.Idled(start.Add(9*time.Minute), bounds) }, Warm},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.event(warm()).Phase; got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func TestLimitFollowsOverloadNotNoise(t *testing.T) {
	if got := answered(warm(), 160, 3*time.Millisecond).ConcurrencyLimit; got != bounds.WarmLimit {
		t.Errorf("got limit %d after headers at 3 ms instead of 1, want %d: that is noise", got, bounds.WarmLimit)
	}
	h := answered(New(bounds), 200, 100*time.Millisecond)
	// Two rounds are needed, since the first may have started with responses of usual latency.
	if got := answered(h, 32, 300*time.Millisecond).ConcurrencyLimit; got >= bounds.WarmLimit {
		t.Errorf("got limit %d after a round at three times the usual latency, want less than %d", got, bounds.WarmLimit)
	}
}
