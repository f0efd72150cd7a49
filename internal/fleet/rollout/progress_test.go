package rollout

import (
	"testing"
	"time"
)

// TestLateReportChangesNothing guards against reports that overtake each other: one from before a request was sent again to another
// version would make the node look drained.
func TestLateReportChangesNothing(t *testing.T) {
	idle := Report{Node: "n0", StartedAt: 1, Order: testOrder, Elapsed: time.Second, IsShifted: true, Sum: Sum{Requests: 10}}
	busy := idle
	busy.Elapsed, busy.OldRunning = 2*time.Second, 1
	fewer, restarted, again, other := busy, idle, idle, busy
	fewer.Sum.Requests, fewer.OldRunning = 9, 0
	restarted.StartedAt, restarted.Sum = 2, Sum{Requests: 3}
	again.StartedAt, again.IsShifted, again.Sum = 3, false, Sum{Requests: 1}
	other.Order.Created, other.Sum = 9, Sum{Requests: 90}
	e := NewEvidence(testOrder)
	for _, tt := range []struct {
		name         string
		report       Report
		wantDrained  bool
		wantRequests int
	}{
		{"first", idle, true, 10}, {"later", busy, false, 10}, {"late", idle, false, 10}, {"twice", busy, false, 10}, {"with fewer requests", fewer, false, 10},
		{"other order", other, false, 10}, {"after a restart", restarted, true, 13}, {"of the run before", busy, true, 13}, {"unshifted after another restart", again, false, 14},
	} {
		e = e.With(testBegin, tt.report)
		if got, n := e.IsDrained(testBegin, []string{"n0"}), e.Sum().Requests; got != tt.wantDrained || n != tt.wantRequests {
			t.Errorf("%s: got drained %t and %d requests, want %t and %d", tt.name, got, n, tt.wantDrained, tt.wantRequests)
		}
	}
}
