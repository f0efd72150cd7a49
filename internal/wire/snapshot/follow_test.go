package snapshot

import (
	"fmt"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

func event(n int) Update {
	return Update{Events: []object.Event{{Type: object.Put, Object: object.Object{Kind: "targets", Name: fmt.Sprint("t", n), Version: uint64(n)}}}}
}

// TestGathersTargetsThatJoinTogether replays a fleet whose targets join in one moment: followers get few messages, in
// order, with lists where they came.
func TestGathersTargetsThatJoinTogether(t *testing.T) {
	const joined = 3000
	changes := make(chan Update, waiting)
	for n := range joined {
		changes <- event(n)
	}
	changes <- Update{Lists: map[string]object.List{"config": {Version: 7}}}
	changes <- event(joined)
	close(changes)
	var messages []Update
	for c := range changes {
		messages = append(messages, gather(c, changes)...)
	}
	if got, want := len(messages), joined/maxEvents+3; got > want {
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
		t.Errorf("got %d events, the lists after %d of them; want %d, after %d", next, lists, joined+1, joined)
	}
}
