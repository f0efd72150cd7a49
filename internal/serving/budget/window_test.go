package budget

import (
	"testing"
	"time"
)

// TestRetriesStayWithinFleetBudget covers a service that fails every request while all nodes retry.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	const nodes = 6
	limits := RetryLimits{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var windows [nodes]RetryWindow
	var retries []time.Time
	requests := 0
	for step := range 300 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for i := range windows {
			windows[i].CountRequest(now, limits)
			requests++
			if windows[i].Take(now, limits, nodes) {
				retries = append(retries, now)
			}
		}
	}
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(from) < limits.Window {
				n++
			}
		}
		// 60 requests a second reach the fleet.
		if want := int(limits.Ratio*600 + limits.Extra); n > want {
			t.Fatalf("got %d retries within %s, want at most %d", n, limits.Window, want)
		}
	}
	if len(retries) < requests/10 {
		t.Errorf("got %d retries of %d requests, want the budget used", len(retries), requests)
	}
}
