package connection

import (
	"testing"
	"time"
)

func TestRestartEndsNodeBackoff(t *testing.T) {
	now := time.Now()
	b := NodeBackoff{startedAt: 1, until: now.Add(time.Minute)}
	if !b.Active(now, 1) {
		t.Error("node that did not respond is not in back-off")
	}
	if b.Active(now, 2) {
		t.Error("restarted node is in back-off")
	}
}

// TestConcurrentFailuresOfNodeCountOnce guards against counting one lost node several times: its process ends with ten
// requests under way, or its machine stops responding.
func TestConcurrentFailuresOfNodeCountOnce(t *testing.T) {
	sentAt := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name      string
		isRefusal bool
		want      time.Duration
	}{
		{"process is gone or declines", true, refusedBackoff},
		{"machine does not respond", false, unresponsiveBackoff},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b NodeBackoff
			now := sentAt.Add(300 * time.Millisecond)
			for i := range 10 {
				b = b.AfterFailure(sentAt.Add(time.Duration(i)*time.Millisecond), now, 1, c.isRefusal)
			}
			if got := b.until.Sub(now); got != c.want {
				t.Errorf("got a back-off of %s after ten requests, want %s", got, c.want)
			}
		})
	}
	var b NodeBackoff
	for range 3 {
		b = b.AfterFailure(b.until.Add(time.Second), b.until.Add(2*time.Second), 1, false)
	}
	if got, want := b.until.Sub(b.failedAt), 4*unresponsiveBackoff; got != want {
		t.Errorf("got a back-off of %s after three consecutive failures, want %s", got, want)
	}
}
