package snapshot

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// agedSource has one list and a view of an age.
type agedSource struct{ age time.Duration }

func (agedSource) Lists() map[string]object.List {
	return map[string]object.List{"config": {Version: 1}}
}

func (s agedSource) Subscribe() (map[string]object.List, <-chan Update, func()) {
	return s.Lists(), nil, func() {}
}

func (s agedSource) Staleness() time.Duration { return s.age }

// TestNodeTellsItsAgeBeforeItsLists guards against large lists that are sent to followers that leave because the view is too old: while the store
// is away all followers of a fleet look for a relay, and their lists would fill the links.
func TestNodeTellsItsAgeBeforeItsLists(t *testing.T) {
	errLeft := merry.Sentinel("the follower left")
	for _, c := range []struct {
		name string
		age  time.Duration
		// want holds whether each message before the follower leaves has lists.
		want []bool
	}{
		{"fresh", 500 * time.Millisecond, []bool{false, true}},
		{"too old for any follower", maxFollowedAge + time.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := grpc.NewServer()
			Register(s, agedSource{age: c.age})
			go func() { _ = s.Serve(ln) }()
			t.Cleanup(s.Stop)
			var got []bool
			err = Follow(context.Background(), ln.Addr().String(), func(u Update, age time.Duration) error {
				if age != c.age {
					t.Errorf("got a view of %s, want %s", age, c.age)
				}
				if got = append(got, u.Lists != nil); len(got) == len(c.want) {
					return errLeft
				}
				return nil
			})
			if err == nil {
				t.Error("got no error, want one at the end")
			}
			if len(got) != len(c.want) {
				t.Fatalf("got %d messages, want %d", len(got), len(c.want))
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("message %d: got lists %t, want %t", i, got[i], c.want[i])
				}
			}
		})
	}
}
