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

// TestSharesStayWithinLimitWhileFleetChanges covers nodes that stop and still serve for some seconds, and nodes that start,
// while the others have the list without or with them.
func TestSharesStayWithinLimitWhileFleetChanges(t *testing.T) {
	names := func(from, to int) []string {
		var list []string
		for i := from; i < to; i++ {
			list = append(list, fmt.Sprint("n", i))
		}
		return list
	}
	tests := []struct {
		name string
		// lists has the list of each node that serves.
		lists map[string][]string
	}{
		{name: "three of six stop", lists: map[string][]string{
			"n0": names(0, 3), "n1": names(0, 3), "n2": names(0, 3), "n3": names(0, 3), "n4": names(0, 3), "n5": names(0, 3),
		}},
		{name: "five of six stop", lists: map[string][]string{
			"n0": names(0, 1), "n1": names(0, 1), "n2": names(0, 1), "n3": names(0, 1), "n4": names(0, 1), "n5": names(0, 1),
		}},
		{name: "one of six has stopped, others do not know", lists: map[string][]string{
			"n0": names(0, 5), "n1": names(0, 6), "n2": names(0, 6), "n3": names(0, 5), "n4": names(0, 6), "n5": names(0, 5),
		}},
	}
	for _, tt := range tests {
		for _, limit := range []float64{2, 5, 11, 18.2, 60} {
			sum := 0
			for self, list := range tt.lists {
				sum += NodeShare("t", self, list, limit)
			}
			if float64(sum) > limit {
				t.Errorf("%s, limit %v: got shares that add up to %d, want at most the limit", tt.name, limit, sum)
			}
		}
	}
}
