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

// TestReturnedRetryIsFree covers retries that were granted and not made: each is given back, as long as it counts.
func TestReturnedRetryIsFree(t *testing.T) {
	limits := RetryLimits{Extra: 1.5, Window: 10 * time.Second}
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		// returned is when the retry goes back, asked when the next one is asked for.
		returned, asked time.Duration
		want            bool
	}{
		{name: "not returned", returned: -1, asked: 9 * time.Second},
		{name: "expired", returned: -1, asked: 11 * time.Second, want: true},
		{name: "at once", asked: 0, want: true},
		{name: "later", returned: 5500 * time.Millisecond, asked: 6 * time.Second, want: true},
		{name: "after it has expired", returned: 15 * time.Second, asked: 15 * time.Second, want: true},
		{name: "long after it has expired", returned: 40 * time.Second, asked: 40 * time.Second, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w RetryWindow
			if !w.Take(start, limits, 1) {
				t.Fatal("got no first retry")
			}
			if tt.returned >= 0 {
				w.Return(start.Add(tt.returned), start, limits)
			}
			if got := w.Take(start.Add(tt.asked), limits, 1); got != tt.want {
				t.Errorf("got a retry %t, want %t", got, tt.want)
			}
			if w.Take(start.Add(tt.asked), limits, 1) {
				t.Error("got two retries at once, want one")
			}
		})
	}
}
