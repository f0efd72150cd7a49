package informer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Config says what to follow and whom to tell.
type Config struct {
	Store object.Store
	Kind  string
	// Replace is given the whole list after each list call.
	Replace func(object.List)
	// Apply is given each event of the watch but bookmarks.
	Apply func(object.Event)
	// OnContact is told of each sign of life of the platform.
	OnContact func()
	// OnError is told why a list or watch ended; it may be nil.
	OnError func(error)
	// Backoff waits before the next try, for a time that grows with each failure; nil waits for just that time.
	Backoff func(ctx context.Context, d time.Duration)
	Rand    *rand.Rand
}

// Informer follows one kind of object.
type Informer struct {
	cfg     Config
	version uint64
	listed  bool
}

// New makes an informer that has not listed yet.
func New(cfg Config) *Informer { return &Informer{cfg: cfg} }

// Run lists and watches until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		before := i.version
		err := i.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, object.ErrGone) {
			// The store answers, and what was missed may be in force already.
			i.listed = false
			backoff = minBackoff
		}
		if i.cfg.OnError != nil {
			i.cfg.OnError(err)
		}
		if i.version > before {
			backoff = minBackoff
		}
		i.pause(ctx, jitter(backoff, i.cfg.Rand))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step lists if it must, then watches until the watch ends.
func (i *Informer) step(ctx context.Context) error {
	if !i.listed {
		list, err := i.cfg.Store.List(ctx, i.cfg.Kind, "")
		if err != nil {
			return err
		}
		i.cfg.OnContact()
		i.cfg.Replace(list)
		i.version = list.Version
		i.listed = true
	}
	return i.cfg.Store.Watch(ctx, i.cfg.Kind, i.version, i.handle)
}

func (i *Informer) handle(e object.Event) {
	i.cfg.OnContact()
	if e.Type != object.Bookmark {
		i.cfg.Apply(e)
	}
	i.version = max(i.version, e.Object.Version)
}

// jitter spreads d over half to one and a half of itself.
func jitter(d time.Duration, r *rand.Rand) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d)))
}

func (i *Informer) pause(ctx context.Context, d time.Duration) {
	if i.cfg.Backoff != nil {
		i.cfg.Backoff(ctx, d)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
