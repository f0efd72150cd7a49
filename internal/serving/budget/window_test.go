package budget

import (
	"testing"
	"time"
)

// TestRepeatsStayInTheFleetsBudget replays a service that fails every request, with nodes that all repeat.
func TestRepeatsStayInTheFleetsBudget(t *testing.T) {
	const nodes = 6
	terms := RetryLimits{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var windows [nodes]RetryWindow
	var repeats []time.Time
	requests := 0
	for step := range 300 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for i := range windows {
			windows[i].CountRequest(now, terms)
			requests++
			if windows[i].Take(now, terms, nodes) {
				repeats = append(repeats, now)
			}
		}
	}
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Sub(from) < terms.Window {
				n++
			}
		}
		// 60 requests a second reach the fleet.
		if want := int(terms.Ratio*600 + terms.Extra); n > want {
			t.Fatalf("%d repeats within %s, want at most %d", n, terms.Window, want)
		}
	}
	if len(repeats) < requests/10 {
		t.Errorf("%d repeats of %d requests, want the budget used", len(repeats), requests)
	}
}
