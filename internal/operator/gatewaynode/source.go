package gatewaynode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/relay"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

const (
	// relayRetryInterval is the mean time between searches for a relay while a node has none; relayInitialDelay is the
	// delay of the first search: all nodes of a deployment start within about 300 ms and are listed shortly after.
	relayRetryInterval = 2 * time.Second
	relayInitialDelay  = 900 * time.Millisecond
)

// Reasons for the end of a watch or a relay that are not failures of the store.
var (
	// errRelayFollowed ends a watch of the store because a relay now supplies the changes.
	errRelayFollowed = merry.Sentinel("a relay supplies the changes")
	// errRelayLost makes the informer list again because the relay no longer supplies changes.
	errRelayLost = fmt.Errorf("the relay is lost: %w", object.ErrGone)
	// errRelayStale ends the use of a relay that is unresponsive or has had no contact with the store for too long.
	errRelayStale = merry.Sentinel("relay is stale")
)

// changeSource holds where changes come from: the store or a relay.
type changeSource struct {
	mu        sync.Mutex
	usesRelay bool
	// changed is closed and replaced when the source changes.
	changed chan struct{}
}

func newChangeSource() changeSource { return changeSource{changed: make(chan struct{})} }

func (s *changeSource) state() (usesRelay bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usesRelay, s.changed
}

// setUsesRelay switches to a relay or to the store; it reports whether the source changed.
func (s *changeSource) setUsesRelay(usesRelay bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usesRelay == usesRelay {
		return false
	}
	s.usesRelay = usesRelay
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// pausingStore is the store with its watches paused while a relay supplies changes.
type pausingStore struct {
	object.Store
	source *changeSource
}

// Watch watches the store, or waits until the relay is lost.
func (s pausingStore) Watch(ctx context.Context, kind string, version uint64, handle func(object.Event)) error {
	usesRelay, changed := s.source.state()
	if usesRelay {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return errRelayLost
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(errRelayFollowed)
		case <-ctx.Done():
		}
	}()
	err := s.Store.Watch(ctx, kind, version, handle)
	if errors.Is(context.Cause(ctx), errRelayFollowed) {
		return errRelayFollowed
	}
	return err
}

// followRelays follows a relay whenever there is a fresh one, and otherwise lets the node read the store.
func (v *fleetView) followRelays(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(relayInitialDelay + rand.N(relayInitialDelay/4)):
	}
	for ctx.Err() == nil {
		for _, r := range v.relays() {
			err := v.followRelay(ctx, r)
			v.cfg.Log.WithError(err).WithField("relay", r.Name).Info("relay: lost")
			if errors.Is(err, errRelayStale) {
				break
			}
		}
		if v.source.setUsesRelay(false) {
			v.cfg.Log.Info("relay: none available, reading from the store")
		}
		// The delay is random, so that not all nodes of a lost relay reconnect to it at once.
		select {
		case <-ctx.Done():
		case <-time.After(relayRetryInterval/2 + rand.N(relayRetryInterval)):
		}
	}
}

func (v *fleetView) relays() []registry.Node {
	if !v.targetsListed.Load() || v.table.Load() == nil {
		return nil
	}
	r := v.registry.Load()
	var nodes []registry.Node
	for _, name := range r.NodeNames() {
		n, _ := r.Node(name)
		nodes = append(nodes, n)
	}
	return relay.RelaysFor(v.cfg.Settings.Name, nodes)
}

// followRelay applies the updates of one relay until the stream ends or the relay is stale.
func (v *fleetView) followRelay(ctx context.Context, r registry.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	var report relay.Report
	staleTimer := time.AfterFunc(time.Hour, func() {})
	defer func() { staleTimer.Stop() }()
	err := snapshot.Follow(ctx, r.Address, func(u snapshot.Update, age time.Duration) error {
		now := v.cfg.Now()
		mu.Lock()
		report = relay.Report{ReceivedAt: now, StoreAge: age}
		mu.Unlock()
		if !report.Fresh(now) {
			return errRelayStale
		}
		staleTimer.Stop()
		staleTimer = time.AfterFunc(report.FreshFor(now), func() { cancel(errRelayStale) })
		v.applyUpdate(u)
		if u.Lists != nil && v.source.setUsesRelay(true) {
			v.cfg.Log.WithFields(logrus.Fields{"relay": r.Name, "age_ms": age.Milliseconds()}).Info("relay: followed")
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// applyUpdate applies a relay's update.
func (v *fleetView) applyUpdate(u snapshot.Update) {
	handlers := v.handlers()
	for kind, l := range u.Lists {
		v.recordContact(kind)
		if h, ok := handlers[kind]; ok {
			v.mergeList(kind, l, h.replace)
		}
	}
	for _, e := range u.Events {
		if h, ok := handlers[e.Object.Kind]; ok {
			v.applyRelayEvent(e.Object.Kind, e, h.apply)
		}
	}
}

// mergeList merges a relay's list with the node's own, which may be newer.
func (v *fleetView) mergeList(kind string, l object.List, update func(object.List)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	v.mu.Lock()
	own := v.cached[kind].list()
	v.mu.Unlock()
	l = relay.MergeLists(own, l)
	v.cacheList(kind, l)
	update(l)
}

// applyRelayEvent applies a relay's event unless the node has a newer version of the object.
func (v *fleetView) applyRelayEvent(kind string, e object.Event, update func(object.Event)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	v.mu.Lock()
	var newer bool
	if own := v.cached[kind]; own != nil {
		o, ok := own.objects[e.Object.Name]
		newer = ok && o.Version > e.Object.Version
	}
	v.mu.Unlock()
	if newer {
		return
	}
	v.cacheEvent(kind, e)
	update(e)
}
