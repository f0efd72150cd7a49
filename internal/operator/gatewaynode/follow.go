package gatewaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	// readInterval is how long a node that has read the store once, or has failed to, looks for a relay before it reads the
	// store again; its view is not stale by then.
	readInterval = time.Second
	// maxReads bounds the reads without a relay before the node reads the store as a relay does, since they leave out the kinds
	// whose changes have more time.
	maxReads = 2
)

// followRelays follows a relay whenever there is a fresh one, and otherwise lets the node read the store.
func (v *fleetView) followRelays(ctx context.Context) {
	search := time.After(relayInitialDelay + rand.N(relayInitialDelay/4))
	time.AfterFunc(settleTime, func() { close(v.source.settled) })
	// A node that starts again finds the entries of all nodes; the others have to wait for them.
	if !v.hasEarlierEntry(ctx) {
		select {
		case <-ctx.Done():
		case <-v.source.nodesRead:
		case <-time.After(roleTimeout):
		}
		// The entries that were read may still wait to be put in the registry.
		v.setNodes()
	}
	if v.hasRelay() {
		v.source.recordHasRelay()
	} else {
		v.source.set(fromStore)
	}
	select {
	case <-ctx.Done():
	case <-search:
	}
	relays := v.relays()
	var readFrom time.Time
	reads := 0
	for ctx.Err() == nil {
		used, hasReader, err := v.followAnyRelay(ctx, relays, readFrom)
		if used.Name != "" {
			v.cfg.Log.WithError(err).WithField("relay", used.Name).Info("relay: lost")
			relays, readFrom, reads = v.nextRelays(relays, used, err), time.Time{}, 0
			continue
		}
		if mode, _ := v.source.state(); mode != fromStore && reads < maxReads && v.hasRelay() {
			err := v.readOnce(ctx)
			if err == nil {
				relays, readFrom = v.relays(), v.cfg.Now().Add(readInterval)
				reads++
				continue
			}
			if !errors.Is(err, object.ErrGone) {
				wait := readInterval
				if hasReader {
					wait = relay.OutageRetry(rand.Float64())
				}
				relays, readFrom = v.relays(), v.cfg.Now().Add(wait)
				continue
			}
		}
		if v.source.set(fromStore) != fromStore {
			v.cfg.Log.Info("relay: none available, reading from the store")
		}
		// The delay is random, so that not all nodes of a lost relay reconnect to it at once.
		pause(ctx, relayRetryInterval/2+rand.N(relayRetryInterval))
		relays, readFrom = v.relays(), time.Time{}
	}
}

// nextRelays returns the nodes that are asked after one of them was followed until err. It comes last, since the store may serve
// the others although it rejects this one.
func (v *fleetView) nextRelays(former []registry.Node, used registry.Node, err error) []registry.Node {
	relays := v.relays()
	if errors.Is(err, errSubstituteEnded) {
		return relays
	}
	if len(relays) == 0 {
		relays = slices.Clone(former)
	}
	if i := slices.IndexFunc(relays, func(n registry.Node) bool { return n.Name == used.Name }); i >= 0 {
		relays = append(slices.Delete(relays, i, i+1), used)
	}
	return relays
}

// readOnce reads the configuration and the targets of a node whose relays are not fresh, and holds them for the nodes that follow it
// meanwhile.
//
// Relays that are late, beside load, are most likely fresh again a moment later, and a list and a watch of every kind cost four
// times as many calls.
func (v *fleetView) readOnce(ctx context.Context) error {
	v.source.set(fromReads)
	purpose := object.PurposeTakeOver
	if v.unavailableFor(v.cfg.Now()) > 0 {
		purpose = object.PurposeRetry
	}
	ctx = object.WithPurpose(ctx, purpose)
	handlers := v.handlers()
	for _, kind := range []string{v.cfg.Platform.ConfigKind, v.cfg.Platform.TargetKind} {
		asked := v.cfg.Now()
		l, err := v.cfg.Store.List(ctx, kind, "")
		if err != nil {
			// What is held after an outage depends on which kinds the store did not answer for.
			for k := range handlers {
				v.recordFailure(k, err)
			}
			return merry.Prepend(err, "read once")
		}
		v.recordContact(kind, asked)
		v.mergeList(kind, l, handlers[kind].replace)
	}
	v.cfg.Log.Info("relay: none is fresh, read the store once")
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hasRelay reports whether the node has a relay when the store answers.
func (v *fleetView) hasRelay() bool {
	return len(relay.RelaysFor(v.cfg.Settings.Name, v.fleetNodes())) > 0
}

func (v *fleetView) fleetNodes() []registry.Node {
	r := v.registry.Load()
	var nodes []registry.Node
	for _, name := range r.NodeNames() {
		n, _ := r.Node(name)
		nodes = append(nodes, n)
	}
	return nodes
}

// relays returns the nodes that this node should follow, best first. A node that has no relay follows others only while the
// store does not answer.
func (v *fleetView) relays() []registry.Node {
	nodes := v.fleetNodes()
	if relays := relay.RelaysFor(v.cfg.Settings.Name, nodes); len(relays) > 0 || v.unavailableFor(v.cfg.Now()) < substituteDelay {
		return relays
	}
	return relay.PeersFor(registry.Node{Name: v.cfg.Settings.Name, Datacentre: v.cfg.Settings.Datacentre}, nodes)
}

// isSubstitute reports whether a node is followed only until the node's own relays, or the store, are tried again.
func (v *fleetView) isSubstitute(r registry.Node) bool {
	isRelay := slices.ContainsFunc(relay.RelaysFor(v.cfg.Settings.Name, v.fleetNodes()), func(n registry.Node) bool { return n.Name == r.Name })
	return !isRelay || r.Datacentre != v.cfg.Settings.Datacentre
}

// maxStoreAge returns the age of a view from which it is stale.
func (v *fleetView) maxStoreAge() time.Duration {
	return relay.MaxStoreAge(min(v.cfg.Settings.DrainTime, v.cfg.Settings.ConfigTime))
}

// followAnyRelay asks relays, and then substitutes, for a fresh view, and follows the first that has one until it is lost; used is
// empty if the node is to read the store itself, from readFrom on. hasReader is set if others, which go before it, try to.
func (v *fleetView) followAnyRelay(ctx context.Context, relays []registry.Node, readFrom time.Time) (used registry.Node, hasReader bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var substitutes []registry.Node
	if v.hasRelay() {
		substitutes = relay.SubstitutesFor(v.cfg.Settings.Name, v.fleetNodes())
	}
	search := relay.NewSearch(relays, substitutes, readFrom)
	s := &relaySearch{view: v, answers: make(chan relayAnswer), cancels: map[string]context.CancelCauseFunc{}}
	for {
		var timeout <-chan time.Time
		switch step := search.Next(v.cfg.Now()).(type) {
		case relay.Ask:
			go s.ask(ctx, step.Node)
			continue
		case relay.Read:
			if s.claim("") {
				return registry.Node{}, search.HasReader(v.cfg.Now()), nil
			}
		case relay.Wait:
			timeout = time.After(step.For)
		}
		select {
		case <-ctx.Done():
			return registry.Node{}, false, ctx.Err()
		case <-timeout:
		case a := <-s.answers:
			if s.isUsed(a.node.Name) {
				return a.node, false, s.awaitEnd(ctx, a)
			}
			if a.err != nil {
				search.RecordLost(a.node.Name)
				continue
			}
			search.RecordStale(v.cfg.Now(), a.node.Name, a.isReader)
		}
	}
}

// relayAnswer is what became of asking a node: its view is stale, which a reader of the store can change itself, or it is followed
// now, or the stream has ended with err.
type relayAnswer struct {
	node     registry.Node
	isReader bool
	err      error
}

// relaySearch asks nodes for their views; the first that has a fresh one is followed, and the others are left.
type relaySearch struct {
	view    *fleetView
	answers chan relayAnswer

	mu      sync.Mutex
	cancels map[string]context.CancelCauseFunc
	// isOver is set once a node is followed, used, or none is to be.
	isOver bool
	used   string
}

// claim ends the search with the use of a node, "" for none; it returns false if the search is already over.
func (s *relaySearch) claim(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOver {
		return false
	}
	s.isOver, s.used = true, name
	for n, cancel := range s.cancels {
		if n != name {
			cancel(errRelayFollowed)
		}
	}
	return true
}

func (s *relaySearch) isUsed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used == name
}

// awaitEnd waits until the node that is followed is lost.
func (s *relaySearch) awaitEnd(ctx context.Context, a relayAnswer) error {
	for a.err == nil || !s.isUsed(a.node.Name) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a = <-s.answers:
		}
	}
	return a.err
}

func (s *relaySearch) report(ctx context.Context, a relayAnswer) {
	select {
	case <-ctx.Done():
	case s.answers <- a:
	}
}

// ask asks a node for its view, and follows the node once that is fresh and no other node is followed.
func (s *relaySearch) ask(searchCtx context.Context, r registry.Node) {
	ctx, cancel := context.WithCancelCause(searchCtx)
	defer cancel(nil)
	s.mu.Lock()
	s.cancels[r.Name] = cancel
	isOver := s.isOver
	s.mu.Unlock()
	if isOver {
		return
	}
	err := s.follow(ctx, cancel, r)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	s.report(searchCtx, relayAnswer{node: r, err: err})
}

// follow applies the updates of a node from the first fresh one on, until the stream ends or the node is stale.
func (s *relaySearch) follow(ctx context.Context, cancel context.CancelCauseFunc, r registry.Node) error {
	v := s.view
	isFollowed := false
	var timers []*time.Timer
	defer func() {
		for _, t := range timers {
			t.Stop()
		}
	}()
	var stale *time.Timer
	return snapshot.Follow(ctx, r.Address, func(u snapshot.Update, age time.Duration) error {
		now := v.cfg.Now()
		report := relay.Report{ReceivedAt: now, StoreAge: age, MaxStoreAge: v.maxStoreAge()}
		switch {
		case isFollowed && !report.Fresh(now):
			return errRelayStale
		case isFollowed:
			stale.Reset(report.FreshFor(now))
			v.applyUpdate(u, now.Add(-age))
			return nil
		case !report.Fresh(now):
			s.report(ctx, relayAnswer{node: r, isReader: age < followerStaleness})
			return nil
		case u.Lists == nil:
			return errNoLists
		case !s.claim(r.Name):
			return errRelayFollowed
		}
		isFollowed = true
		stale = time.AfterFunc(report.FreshFor(now), func() { cancel(errRelayStale) })
		timers = append(timers, stale)
		if v.isSubstitute(r) {
			timers = append(timers, time.AfterFunc(substitutePeriod, func() { cancel(errSubstituteEnded) }))
		}
		v.applyUpdate(u, now.Add(-age))
		v.source.set(fromRelay)
		v.cfg.Log.WithFields(logrus.Fields{"relay": r.Name, "age_ms": age.Milliseconds()}).Info("relay: followed")
		s.report(ctx, relayAnswer{node: r})
		return nil
	})
}

// applyUpdate applies an update of a relay that last heard from the store at contact.
func (v *fleetView) applyUpdate(u snapshot.Update, contact time.Time) {
	handlers := v.handlers()
	for kind, l := range u.Lists {
		v.recordContact(kind, contact)
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

// mergeList merges a list that the node has not followed from the store with the node's own, which may be newer.
func (v *fleetView) mergeList(kind string, l object.List, update func(object.List)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	v.mu.Lock()
	own := v.cached[kind].list()
	v.mu.Unlock()
	l = relay.MergeLists(own, l)
	v.unreadable.retain(kind, l)
	v.restored = v.noteEra(kind, l)
	kept := v.compactedList(l)
	v.cacheList(kind, kept)
	v.broadcaster.Publish(snapshot.Update{Lists: map[string]object.List{kind: kept}})
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
		newer = (ok && o.Version > e.Object.Version) || own.version.Era() > e.Object.Version.Era()
	}
	v.mu.Unlock()
	if newer {
		return
	}
	v.cacheEvent(kind, object.Event{Type: e.Type, Object: v.compacted(e.Object)})
	update(e)
}
