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

// Config configures an Informer.
type Config struct {
	Store object.Store
	Kind  string
	// Replace is called with the whole list after each list call.
	Replace func(object.List)
	// Apply is called with each event of the watch except bookmarks.
	Apply func(object.Event)
	// OnContact is called for each response and each event of the platform, bookmarks included.
	OnContact func()
	// OnError is called with the error that ended a list or watch; it may be nil.
	OnError func(error)
	// Backoff waits before the next attempt; d grows with each failure. If it is nil, the informer waits for d.
	Backoff func(ctx context.Context, d time.Duration)
	Rand    *rand.Rand
}

// Informer follows one kind of object.
type Informer struct {
	cfg     Config
	version object.Version
	listed  bool
	// hasContact is set once the platform has answered since the last failure.
	hasContact bool
}

// New returns an informer that has not listed yet.
func New(cfg Config) *Informer { return &Informer{cfg: cfg} }

// Run lists and watches until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		i.hasContact = false
		err := i.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, object.ErrGone) {
			// The store is available, and the missed changes may already be in force, so the list must not be delayed.
			i.listed = false
			backoff = minBackoff
		}
		if i.cfg.OnError != nil {
			i.cfg.OnError(err)
		}
		if i.hasContact {
			// A watch may end at any time, and a kind may not change for hours: only failures in a row are a reason to wait longer.
			backoff = minBackoff
		}
		i.wait(ctx, jitter(backoff, i.cfg.Rand))
		backoff = min(2*backoff, maxBackoff)
	}
}

// listAndWatch lists if necessary, then watches until the watch ends.
func (i *Informer) listAndWatch(ctx context.Context) error {
	if !i.listed {
		list, err := i.cfg.Store.List(ctx, i.cfg.Kind, "")
		if err != nil {
			return err
		}
		i.recordContact()
		i.cfg.Replace(list)
		i.version = list.Version
		i.listed = true
	}
	return i.cfg.Store.Watch(ctx, i.cfg.Kind, i.version, i.handle)
}

func (i *Informer) recordContact() {
	i.hasContact = true
	i.cfg.OnContact()
}

func (i *Informer) handle(e object.Event) {
	i.recordContact()
	if e.Type != object.Bookmark {
		i.cfg.Apply(e)
	}
	i.version = max(i.version, e.Object.Version)
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration, r *rand.Rand) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d)))
}

func (i *Informer) wait(ctx context.Context, d time.Duration) {
	if i.cfg.Backoff != nil {
		i.cfg.Backoff(ctx, d)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
