package informer

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// cutStore fails watches for a while, then says that their history is gone.
type cutStore struct {
	object.Store
	fails  int
	gone   time.Time
	listed chan time.Time
}

func (s *cutStore) List(context.Context, string, string) (object.List, error) {
	s.listed <- time.Now()
	return object.List{Version: 1}, nil
}

func (s *cutStore) Watch(ctx context.Context, _ string, _ uint64, _ func(object.Event)) error {
	if s.fails > 0 {
		s.fails--
		return errors.New("no answer")
	}
	if s.gone.IsZero() {
		s.gone = time.Now()
		return object.ErrGone
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestListsAtOnceAfterACut replays a store that was cut off for several seconds and has dropped its history meanwhile:
// the wait that grew during the cut must not delay the list.
func TestListsAtOnceAfterACut(t *testing.T) {
	s := &cutStore{fails: 5, listed: make(chan time.Time, 2)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nothing := func() {}
	go New(Config{
		Store: s, Kind: "k", Replace: func(object.List) {}, Apply: func(object.Event) {}, OnContact: nothing, Rand: rand.New(rand.NewPCG(1, 2)),
	}).Run(ctx)
	<-s.listed
	select {
	case at := <-s.listed:
		if got, want := at.Sub(s.gone), 200*time.Millisecond; got > want {
			t.Errorf("list was read %s after the store said that history is gone, want at most %s", got, want)
		}
	case <-time.After(15 * time.Second):
		t.Fatal("list was not read again")
	}
}
