package request

import (
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// TestFollowRepeatsNoEventThatCallerHas covers a caller that has more events than the log when it begins to follow.
func TestFollowRepeatsNoEventThatCallerHas(t *testing.T) {
	l := NewEventLog()
	l.Add(1, []byte("a"))
	go func() {
		for n, data := range []string{"b", "c", "d"} {
			time.Sleep(time.Millisecond)
			l.Add(uint64(n+2), []byte(data))
		}
		l.Finish(time.Now(), outcome.Record{})
	}()
	var got []string
	if _, err := l.Follow(t.Context(), 3, func(e Event) error {
		got = append(got, string(e.Data))
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Join(got, ""), "d"; got != want {
		t.Errorf("got events %q, want %q", got, want)
	}
}
