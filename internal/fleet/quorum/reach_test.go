package quorum

import (
	"testing"
	"time"
)

func TestOpen(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bound := 4 * time.Second
	fresh, stale := now.Add(-time.Second), now.Add(-time.Minute)
	tests := []struct {
		name string
		h    Contacts
		want bool
	}{
		{"platform heard", Contacts{PlatformSeen: fresh}, true},
		{"nobody heard", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": stale, "b": stale, "c": stale}}, false},
		{"platform down, all heard", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": fresh, "c": fresh}}, true},
		{"two of three heard", Contacts{PlatformSeen: stale, LocalDatacentre: "b", DatacentresSeen: map[string]time.Time{"a": stale, "b": fresh, "c": fresh}}, true},
		{"cut off with its own data centre", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": stale, "c": stale}}, false},
		{"half with the first name", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": stale}}, true},
		{"half without the first name", Contacts{PlatformSeen: stale, LocalDatacentre: "b", DatacentresSeen: map[string]time.Time{"a": stale, "b": fresh}}, false},
		{"alone in its data centre of three", Contacts{PlatformSeen: stale, LocalDatacentre: "a", OnlyNode: true, DatacentresSeen: map[string]time.Time{"a": stale, "b": stale, "c": stale}}, false},
		{"the only node", Contacts{PlatformSeen: stale, LocalDatacentre: "a", OnlyNode: true, DatacentresSeen: map[string]time.Time{"a": stale}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.h.HasQuorum(now, bound); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestTwoSidesNeverBothGoOn splits four data centres in every way; at most one side may go on without the platform.
func TestTwoSidesNeverBothGoOn(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	names := []string{"a", "b", "c", "d"}
	for mask := 1; mask < 15; mask++ {
		open := 0
		for _, side := range []int{mask, 15 ^ mask} {
			h := Contacts{PlatformSeen: now.Add(-time.Hour), DatacentresSeen: map[string]time.Time{}}
			for i, n := range names {
				h.DatacentresSeen[n] = now.Add(-time.Hour)
				if side&(1<<i) != 0 {
					h.DatacentresSeen[n] = now
					h.LocalDatacentre = n
				}
			}
			if h.HasQuorum(now, time.Second) {
				open++
			}
		}
		if open > 1 {
			t.Errorf("got %d open sides for split %04b, want at most 1", open, mask)
		}
	}
}
