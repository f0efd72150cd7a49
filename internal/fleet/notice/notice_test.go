package notice

import (
	"testing"
	"time"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	target = Target{ID: "i-1", StartedAt: 1}
)

func TestLeavingEndsWithTheRunOfTheTarget(t *testing.T) {
	b, isNew := Board{}.With(start, target, Leaving{})
	if !isNew || !b.Leaving(target) {
		t.Errorf("got new %t, leaving %t, want both", isNew, b.Leaving(target))
	}
	if _, isNew := b.With(start.Add(time.Second), target, Leaving{}); isNew {
		t.Error("got a second notice as new")
	}
	if restarted := (Target{ID: "i-1", StartedAt: 2}); b.Leaving(restarted) {
		t.Error("got the restarted target as leaving")
	}
	if got := len(b.News(start.Add(time.Second))); got != 1 {
		t.Errorf("got %d targets to tell others of, want 1", got)
	}
	if got := len(b.News(start.Add(newsPeriod))); got != 0 {
		t.Errorf("got %d targets to tell others of after %s, want none", got, newsPeriod)
	}
	b, _ = b.With(start.Add(leavingRetention+time.Second), Target{ID: "i-2"}, Leaving{})
	if b.Leaving(target) {
		t.Errorf("got a target as leaving after %s, want it forgotten", leavingRetention)
	}
}

func TestPause(t *testing.T) {
	tests := []struct {
		name   string
		pauses []time.Duration
		want   time.Duration
	}{
		{name: "none"},
		{name: "one", pauses: []time.Duration{300 * time.Millisecond}, want: 300 * time.Millisecond},
		{name: "the longest holds", pauses: []time.Duration{2 * time.Second, time.Second}, want: 2 * time.Second},
		{name: "prolonged", pauses: []time.Duration{time.Second, 2 * time.Second}, want: 2 * time.Second},
		{name: "bounded", pauses: []time.Duration{240 * time.Hour}, want: MaxPause},
		{name: "negative", pauses: []time.Duration{-time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Board
			for _, d := range tt.pauses {
				b, _ = b.With(start, target, Pause{Duration: d})
			}
			var got time.Duration
			if until := b.PausedUntil(start, target); !until.IsZero() {
				got = until.Sub(start)
			}
			if got != tt.want {
				t.Errorf("got a pause of %s, want %s", got, tt.want)
			}
			if end := start.Add(tt.want); !b.PausedUntil(end, target).IsZero() {
				t.Error("got a pause that does not end")
			}
			if got, want := b.Recovering(start.Add(tt.want), target), tt.want > 0; got != want {
				t.Errorf("got recovering %t at the end, want %t", got, want)
			}
			if b.Recovering(start.Add(tt.want+RecoveryTime), target) {
				t.Errorf("got recovering %s after the end", RecoveryTime)
			}
		})
	}
}

func TestBoardIsImmutable(t *testing.T) {
	first, _ := Board{}.With(start, target, Leaving{})
	second, _ := first.With(start, Target{ID: "i-2"}, Leaving{})
	if first.Leaving(Target{ID: "i-2"}) || !second.Leaving(target) {
		t.Error("got a change of an earlier board")
	}
}
