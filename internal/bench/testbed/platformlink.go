package testbed

import (
	"context"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

var (
	errCut     = merry.Sentinel("connection to the platform is cut")
	errRefused = merry.Sentinel("the platform refuses to write")
)

// PlatformLink is one node's connection to the platform, which can be cut.
type PlatformLink struct {
	store     *store.Session
	cut       atomic.Bool
	cutSignal atomic.Pointer[chan struct{}]
	calls     atomic.Int64
	// refusedKind is the kind of object whose writes fail, "" for none.
	refusedKind atomic.Value
	// heldEra is the era that Era returns, nil for the latest one.
	heldEra atomic.Pointer[uint64]
}

func newPlatformLink(s *store.Store) *PlatformLink {
	l := &PlatformLink{store: s.Connect()}
	l.refusedKind.Store("")
	open := make(chan struct{})
	l.cutSignal.Store(&open)
	return l
}

// SetCut ends the node's calls and watches and rejects new ones, or allows them again.
func (l *PlatformLink) SetCut(cut bool) {
	if l.cut.Swap(cut) == cut {
		return
	}
	if cut {
		next := make(chan struct{})
		close(*l.cutSignal.Swap(&next))
	}
}

// RefuseWrites makes the node's writes of a kind of object fail, "" for none.
func (l *PlatformLink) RefuseWrites(kind string) { l.refusedKind.Store(kind) }

// CallCount returns the number of calls that the node has made.
func (l *PlatformLink) CallCount() int64 { return l.calls.Load() }

// begin counts a call and returns a context that is cancelled when the link is cut.
func (l *PlatformLink) begin(ctx context.Context) (context.Context, context.CancelFunc, error) {
	l.calls.Add(1)
	stop := *l.cutSignal.Load()
	if l.cut.Load() {
		return nil, nil, errCut
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// Get reads one object.
func (l *PlatformLink) Get(ctx context.Context, kind, name string) (object.Object, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return object.Object{}, err
	}
	defer cancel()
	return l.store.Get(ctx, kind, name)
}

// List reads the objects of a kind.
func (l *PlatformLink) List(ctx context.Context, kind, prefix string) (object.List, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return object.List{}, err
	}
	defer cancel()
	return l.store.List(ctx, kind, prefix)
}

// Put writes an object by conditional update.
func (l *PlatformLink) Put(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return object.Object{}, err
	}
	defer cancel()
	if l.refusedKind.Load() == kind {
		return object.Object{}, errRefused
	}
	return l.store.Put(ctx, kind, name, version, value)
}

// PutStatus writes the status of an object by conditional update.
func (l *PlatformLink) PutStatus(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return object.Object{}, err
	}
	defer cancel()
	if l.refusedKind.Load() == kind {
		return object.Object{}, errRefused
	}
	return l.store.PutStatus(ctx, kind, name, version, value)
}

// Delete removes an object by conditional update.
func (l *PlatformLink) Delete(ctx context.Context, kind, name string, version object.Version) error {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return l.store.Delete(ctx, kind, name, version)
}

// Watch watches a kind of object for changes.
func (l *PlatformLink) Watch(ctx context.Context, kind string, version object.Version, handle func(object.Event)) error {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return l.store.Watch(ctx, kind, version, handle)
}

// VMs reads the list of VMs.
func (l *PlatformLink) VMs(ctx context.Context) (vm.List, error) {
	ctx, cancel, err := l.begin(ctx)
	if err != nil {
		return vm.List{}, err
	}
	defer cancel()
	return l.store.VMs(ctx)
}

// HoldEra makes Era return the present era until RaiseEra is called, as for a node that looks for a new era late.
func (l *PlatformLink) HoldEra() {
	era := l.store.Era()
	l.heldEra.Store(&era)
}

// Era returns the latest era that an answer has named.
func (l *PlatformLink) Era() uint64 {
	if held := l.heldEra.Load(); held != nil {
		return *held
	}
	return l.store.Era()
}

// RaiseEra records an era that is known otherwise.
func (l *PlatformLink) RaiseEra(era uint64) error {
	l.heldEra.Store(nil)
	return l.store.RaiseEra(era)
}
