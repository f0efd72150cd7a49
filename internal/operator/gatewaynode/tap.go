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
	// relayLook is how often a node looks for a relay while it has none, firstLook how soon after its start: all
	// nodes of a deployment start in about 300 ms and are listed a little later.
	relayLook = 2 * time.Second
	firstLook = 900 * time.Millisecond
)

// The ends of a watch that are no failures of the store.
var (
	// errAttached ends a watch of the store since a relay tells of changes now.
	errAttached = merry.Sentinel("a relay tells of changes")
	// errDetached asks for the list, since the relay no longer tells of changes.
	errDetached = fmt.Errorf("the relay is lost: %w", object.ErrGone)
	// errStale ends a relay that is silent or has not heard the store for too long.
	errStale = merry.Sentinel("relay is not fresh")
)

// tap says where changes come from: the store or a relay.
type tap struct {
	mu       sync.Mutex
	attached bool
	changed  chan struct{}
}

func newTap() tap { return tap{changed: make(chan struct{})} }

func (t *tap) mode() (attached bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attached, t.changed
}

// set switches to a relay or to the store; it tells whether that is a change.
func (t *tap) set(attached bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attached == attached {
		return false
	}
	t.attached = attached
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// tapped is the store, whose watches rest while a relay tells of changes.
type tapped struct {
	object.Store
	tap *tap
}

// Watch watches the store, or waits until the relay is lost.
func (t tapped) Watch(ctx context.Context, kind string, version uint64, handle func(object.Event)) error {
	attached, changed := t.tap.mode()
	if attached {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return errDetached
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(errAttached)
		case <-ctx.Done():
		}
	}()
	err := t.Store.Watch(ctx, kind, version, handle)
	if errors.Is(context.Cause(ctx), errAttached) {
		return errAttached
	}
	return err
}

// relayed follows a relay whenever there is one to be believed, and else leaves the node to the store.
func (p *picture) relayed(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(firstLook + rand.N(firstLook/4)):
	}
	for ctx.Err() == nil {
		for _, r := range p.relays() {
			err := p.attach(ctx, r)
			p.cfg.Log.WithError(err).WithField("relay", r.Name).Info("relay: lost")
			if errors.Is(err, errStale) {
				break
			}
		}
		if p.tap.set(false) {
			p.cfg.Log.Info("relay: none is left, the store is read")
		}
		// Spread, so that not all nodes of a lost relay come back to it in one moment.
		select {
		case <-ctx.Done():
		case <-time.After(relayLook/2 + rand.N(relayLook)):
		}
	}
}

func (p *picture) relays() []registry.Node {
	if !p.listed.Load() || p.table.Load() == nil {
		return nil
	}
	r := p.roster.Load()
	var nodes []registry.Node
	for _, name := range r.NodeNames() {
		n, _ := r.Node(name)
		nodes = append(nodes, n)
	}
	return relay.RelaysFor(p.cfg.Settings.Name, nodes)
}

// attach takes over what one relay tells until it ends or is no longer fresh.
func (p *picture) attach(ctx context.Context, r registry.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	var word relay.Report
	check := time.AfterFunc(time.Hour, func() {})
	defer func() { check.Stop() }()
	err := snapshot.Follow(ctx, r.Address, func(c snapshot.Update, age time.Duration) error {
		now := p.cfg.Now()
		mu.Lock()
		word = relay.Report{ReceivedAt: now, StoreAge: age}
		mu.Unlock()
		if !word.Fresh(now) {
			return errStale
		}
		check.Stop()
		check = time.AfterFunc(word.FreshFor(now), func() { cancel(errStale) })
		p.take(c)
		if c.Lists != nil && p.tap.set(true) {
			p.cfg.Log.WithFields(logrus.Fields{"relay": r.Name, "age_ms": age.Milliseconds()}).Info("relay: followed")
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// take takes over what a relay tells.
func (p *picture) take(c snapshot.Update) {
	kinds := p.kinds()
	for kind, l := range c.Lists {
		p.heard(kind)
		if k, ok := kinds[kind]; ok {
			p.merge(kind, l, k.replace)
		}
	}
	for _, e := range c.Events {
		if k, ok := kinds[e.Object.Kind]; ok {
			p.event(e.Object.Kind, e, k.apply)
		}
	}
}

// merge joins a relay's list with what the node knows, which may be newer.
func (p *picture) merge(kind string, l object.List, to func(object.List)) {
	p.listing.Lock()
	defer p.listing.Unlock()
	p.mu.Lock()
	own := p.raw[kind].list()
	p.mu.Unlock()
	l = relay.MergeLists(own, l)
	p.keep(kind, l)
	to(l)
}

// event takes a relay's event over unless the node knows a newer version of the object.
func (p *picture) event(kind string, e object.Event, to func(object.Event)) {
	p.listing.Lock()
	defer p.listing.Unlock()
	p.mu.Lock()
	var newer bool
	if own := p.raw[kind]; own != nil {
		o, ok := own.objects[e.Object.Name]
		newer = ok && o.Version > e.Object.Version
	}
	p.mu.Unlock()
	if newer {
		return
	}
	p.change(kind, e)
	to(e)
}
