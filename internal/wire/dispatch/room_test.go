package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
)

// brokenStream is the stream of a caller that cannot be sent the results of its group.
type brokenStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s brokenStream) Context() context.Context { return s.ctx }

func (s brokenStream) Send(p *deskpb.Progress) error {
	if progressState(p.State) == stateDone {
		return errors.New("stream is broken")
	}
	return nil
}

// TestResultsThatCannotBePassedOnAreFreed guards against results of a gone caller that hold room until they expire.
func TestResultsThatCannotBePassedOnAreFreed(t *testing.T) {
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	err := server{dispatcher: d}.Produce(&deskpb.Group{Service: "s", Request: "r", Count: 2, PromptUs: 5e6, LastUs: 5e6, Bytes: 10}, brokenStream{ctx: t.Context()})
	if err == nil {
		t.Error("got no error, want that of the stream")
	}
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		got := len(f.freed)
		f.mu.Unlock()
		if got == 2 {
			return
		}
	}
	t.Error("results were not freed within a second, want two freed")
}

// TestRoomOfFailedCalls guards against calls for whose results there is no room, and against room that is kept for results that were never made:
// the target does not report its space.
func TestRoomOfFailedCalls(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want bool
	}{
		{"response was lost", errors.New("unexpected EOF"), true},
		{"call was not sent", merry.Prepend(connection.ErrUnsent, "stage call"), false},
		{"target rejected the call", merry.Prepend(merry.Errorf("status 503: %w", batch.ErrNoResults), "stage call"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeTargets{
				space: func() (batch.Space, error) { return batch.Space{}, errors.New("no report") },
				run: func(n int, _ registry.Target, _ []batch.Piece) ([]batch.Result, error) {
					if n == 1 {
						return nil, tt.err
					}
					return nil, nil
				},
			}
			d := newTestDispatcher(f, target("t1", "a"))
			d.cfg.AllowRetry = func(time.Time, string) bool { return false }
			if _, err := d.Produce(t.Context(), testGroup("r", 4, 250), noCallbacks); err != nil {
				t.Fatal(err)
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if got := d.scheduler("s", "").HasUntracked(time.Now()); got != tt.want {
				t.Errorf("got room kept %t, want %t", got, tt.want)
			}
		})
	}
}
