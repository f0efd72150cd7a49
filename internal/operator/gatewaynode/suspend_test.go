package gatewaynode

import (
	"testing"
	"time"
)

func TestSuspendClockTellsLostTimeOnce(t *testing.T) {
	var c suspendClock
	readings := []struct{ steady, sinceBoot, want time.Duration }{
		{steady: 10 * time.Second, sinceBoot: 15 * time.Second},
		{steady: 11 * time.Second, sinceBoot: 16*time.Second + time.Millisecond},
		{steady: 12 * time.Second, sinceBoot: 20 * time.Second, want: 3 * time.Second},
		{steady: 13 * time.Second, sinceBoot: 21 * time.Second},
	}
	for _, r := range readings {
		if got := c.record(r.steady, r.sinceBoot); got != r.want {
			t.Errorf("at %s: got %s lost, want %s", r.steady, got, r.want)
		}
	}
	if _, err := c.Lost(); err != nil {
		t.Errorf("got error %v from the clocks of this machine", err)
	}
}
