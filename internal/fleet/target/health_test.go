package target

import (
	"testing"
	"time"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bounds = Bounds{ColdLimit: 2, AnswersPerStep: 4, WarmLimit: 16}
)

// answered gives the health after n whole answers of a latency.
func answered(h Health, n int, first time.Duration) Health {
	for range n {
		h = h.Answered(start, first, "boot-1", bounds)
	}
	return h
}

func warm() Health { return answered(New(bounds), 200, time.Millisecond) }

func TestLevelIsProvenStepByStep(t *testing.T) {
	tests := []struct {
		answers   int
		wantLevel int
		wantPhase Phase
	}{
		{0, 2, Cold}, {3, 2, Cold}, {4, 4, Cold}, {7, 4, Cold}, {8, 8, Cold}, {15, 8, Cold}, {16, 16, Warm},
	}
	for _, tt := range tests {
		got := answered(New(bounds), tt.answers, time.Millisecond)
		if got.ConcurrencyLimit != tt.wantLevel || got.Phase != tt.wantPhase {
			t.Errorf("after %d answers: got %d %s, want %d %s", tt.answers, got.ConcurrencyLimit, got.Phase, tt.wantLevel, tt.wantPhase)
		}
	}
}

func TestSignsOfACold(t *testing.T) {
	tests := []struct {
		name string
		sign func(Health) Health
		want Phase
	}{
		{"none", func(h Health) Health { return h }, Warm},
		{"another boot", func(h Health) Health { return h.Booted("boot-2", bounds) }, Cold},
		{"refused connection", func(h Health) Health { return h.Unreached(start, bounds) }, Cold},
		{"two errors", func(h Health) Health { return h.Errored(start, bounds).Errored(start, bounds) }, Warm},
		{"three errors", func(h Health) Health {
			return h.Errored(start, bounds).Errored(start, bounds).Errored(start, bounds)
		}, Cold},
		{"eight slow answers", func(h Health) Health { return answered(h, 8, 80*time.Millisecond) }, Cold},
		{"seven slow answers", func(h Health) Health { return answered(h, 7, 80*time.Millisecond) }, Warm},
		{"idle for long", func(h Health) Health { return h.Idled(start.Add(10*time.Minute), bounds) }, Cold},
		{"idle for a while", func(h Health) Health { return h.Idled(start.Add(9*time.Minute), bounds) }, Warm},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.sign(warm()).Phase; got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func TestLevelFollowsACrowdAndNotNoise(t *testing.T) {
	if got := answered(warm(), 160, 3*time.Millisecond).ConcurrencyLimit; got != bounds.WarmLimit {
		t.Errorf("got level %d after headers at 3 ms in place of 1, want %d: that is noise", got, bounds.WarmLimit)
	}
	h := answered(New(bounds), 200, 100*time.Millisecond)
	// Two rounds' worth, since the first may have begun with usual answers.
	if got := answered(h, 32, 300*time.Millisecond).ConcurrencyLimit; got >= bounds.WarmLimit {
		t.Errorf("got level %d after a round at three times the usual latency, want less than %d", got, bounds.WarmLimit)
	}
}
