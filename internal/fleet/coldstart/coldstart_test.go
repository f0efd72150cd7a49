package coldstart

import (
	"fmt"
	"testing"
	"time"
)

// TestSharesStayWithinLimit covers a cold target and fleets of different sizes: all nodes together stay within the
// limit, and at least one node may send.
func TestSharesStayWithinLimit(t *testing.T) {
	for _, limit := range []float64{2, 5, 18.2, 60} {
		for _, size := range []int{1, 2, 6, 77, 340} {
			var nodes []string
			for i := range size {
				nodes = append(nodes, fmt.Sprint("n", i))
			}
			sum := 0
			for _, n := range nodes {
				sum += NodeShare("t", n, nodes, limit)
			}
			if float64(sum) > limit || sum == 0 {
				t.Errorf("%d nodes, limit %v: got shares that add up to %d, want 1 to the limit", size, limit, sum)
			}
		}
	}
}

func TestTakeCountsOverSlidingWindow(t *testing.T) {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var s SendWindow
	var ok bool
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true}, {900 * time.Millisecond, true}, {time.Second, false}, {1099 * time.Millisecond, false}, {1100 * time.Millisecond, true}, {1200 * time.Millisecond, false},
	} {
		if s, ok = s.Take(start.Add(c.at), 2); ok != c.want {
			t.Errorf("send after %s: got %t, want %t", c.at, ok, c.want)
		}
	}
}
