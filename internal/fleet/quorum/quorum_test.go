package quorum

import (
	"testing"
	"time"
)

func TestHasQuorum(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	maxAge := 4 * time.Second
	fresh, stale := now.Add(-time.Second), now.Add(-time.Minute)
	tests := []struct {
		name     string
		contacts Contacts
		want     bool
	}{
		{"platform reachable", Contacts{PlatformSeen: fresh}, true},
		{"nothing reachable", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": stale, "b": stale, "c": stale}}, false},
		{"all data centres without platform", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": fresh, "c": fresh}}, true},
		{"two of three data centres", Contacts{PlatformSeen: stale, LocalDatacentre: "b", DatacentresSeen: map[string]time.Time{"a": stale, "b": fresh, "c": fresh}}, true},
		{"own data centre only", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": stale, "c": stale}}, false},
		{"half with the first name", Contacts{PlatformSeen: stale, LocalDatacentre: "a", DatacentresSeen: map[string]time.Time{"a": fresh, "b": stale}}, true},
		{"half without the first name", Contacts{PlatformSeen: stale, LocalDatacentre: "b", DatacentresSeen: map[string]time.Time{"a": stale, "b": fresh}}, false},
		{"only node of one of three data centres", Contacts{PlatformSeen: stale, LocalDatacentre: "a", OnlyLocalNode: true, DatacentresSeen: map[string]time.Time{"a": stale, "b": stale, "c": stale}}, false},
		{"only node of the only data centre", Contacts{PlatformSeen: stale, LocalDatacentre: "a", OnlyLocalNode: true, DatacentresSeen: map[string]time.Time{"a": stale}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.contacts.HasQuorum(now, maxAge); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestOnlyOneSideHasQuorum splits four data centres in every way; at most one side has the quorum without the platform.
func TestOnlyOneSideHasQuorum(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	names := []string{"a", "b", "c", "d"}
	for mask := 1; mask < 15; mask++ {
		quorums := 0
		for _, side := range []int{mask, 15 ^ mask} {
			c := Contacts{PlatformSeen: now.Add(-time.Hour), DatacentresSeen: map[string]time.Time{}}
			for i, n := range names {
				c.DatacentresSeen[n] = now.Add(-time.Hour)
				if side&(1<<i) != 0 {
					c.DatacentresSeen[n] = now
					c.LocalDatacentre = n
				}
			}
			if c.HasQuorum(now, time.Second) {
				quorums++
			}
		}
		if quorums > 1 {
			t.Errorf("got %d sides with a quorum for split %04b, want at most 1", quorums, mask)
		}
	}
}
