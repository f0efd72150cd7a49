package snapshot

import (
	"fmt"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

func testUpdate(n int) Update {
	return Update{Events: []object.Event{{Type: object.Put, Object: object.Object{Kind: "targets", Name: fmt.Sprint("t", n), Version: object.Version(n)}}}}
}

// TestCoalescesTargetsThatJoinTogether covers a fleet whose targets join at the same moment: followers get few
// messages, in order, with lists at their place.
func TestCoalescesTargetsThatJoinTogether(t *testing.T) {
	const joined = 3000
	updates := make(chan Update, followerBuffer)
	for n := range joined {
		updates <- testUpdate(n)
	}
	updates <- Update{Lists: map[string]object.List{"config": {Version: 7}}}
	updates <- testUpdate(joined)
	close(updates)
	var messages []Update
	for u := range updates {
		messages = append(messages, coalesce(u, updates)...)
	}
	if got, want := len(messages), joined/maxMessageEvents+3; got > want {
		t.Errorf("got %d messages, want at most %d", got, want)
	}
	next, lists := 0, -1
	for _, m := range messages {
		for _, e := range m.Events {
			if got := int(e.Object.Version); got != next {
				t.Fatalf("got event %d, want %d", got, next)
			}
			next++
		}
		if m.Lists != nil {
			lists = next
		}
	}
	if next != joined+1 || lists != joined {
		t.Errorf("got %d events, the lists after %d of them, want %d and after %d", next, lists, joined+1, joined)
	}
}
