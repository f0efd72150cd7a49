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
	// substitutePeriod bounds the use of a relay in another data centre, and of any node in place of the store.
	substitutePeriod = 4 * time.Second
	// substituteDelay is how long the store must have been unavailable before another node is followed in its place: one
	// watch without an answer may only mean that history was lost.
	substituteDelay = 500 * time.Millisecond
	// settleTime is how long the nodes of a fleet that starts take to write their entries. A node that has read them after
	// it, and roleTimeout at the latest, decides whether it watches the store itself, early enough to be a fresh relay when
	// the others look for one.
	settleTime  = 600 * time.Millisecond
	roleTimeout = 1200 * time.Millisecond
	// rolloutPatience is how long orders of rollouts are not read from the store after a relay was lost.
	rolloutPatience = 1500 * time.Millisecond
	// lossSpread is longer than any watch but that of the nodes' objects.
	lossSpread = 3 * time.Second
)

// Reasons for the end of a watch or a relay that are not failures of the store.
var (
	// errRelayFollowed ends a watch of the store because a relay now supplies the changes.
	errRelayFollowed = merry.Sentinel("a relay supplies the changes")
	// errRelayLost makes the informer list again because the relay no longer supplies changes.
	errRelayLost = fmt.Errorf("the relay is lost: %w", object.ErrGone)
	// errHistoryLost ends the watch of the nodes' objects, which the store would hold open for long, when another watch shows
	// that the store has lost its history.
	errHistoryLost = fmt.Errorf("another watch has lost its history: %w", object.ErrGone)
	// errRelayStale ends the use of a relay that is unresponsive or has had no contact with the store for too long.
	errRelayStale = merry.Sentinel("relay is stale")
	// errSubstituteEnded ends the use of a substitute, so that the node's own relays, or the store, are tried again.
	errSubstituteEnded = merry.Sentinel("the relay was a substitute")
)

// sourceMode is where the changes of the store's objects come from.
type sourceMode string

// The modes of a changeSource.
const (
	// fromStart is the mode of a node that has just started: it has lists, and is about to learn whether it has a relay.
	fromStart sourceMode = "start"
	fromStore sourceMode = "store"
	fromRelay sourceMode = "relay"
)

// changeSource holds the mode of a node.
type changeSource struct {
	mu   sync.Mutex
	mode sourceMode
	// contact is when the store had last answered a relay that this node followed, zero if it has followed none.
	contact time.Time
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	// settled is closed settleTime after the start, nodesRead once the nodes' entries have been read after it; readOnce
	// guards nodesRead.
	settled   chan struct{}
	nodesRead chan struct{}
	readOnce  sync.Once
	// historyLost is closed and replaced when a watch shows that the store has lost its history; lostAt is when it last was.
	historyLost chan struct{}
	lostAt      time.Time
}

func newChangeSource() *changeSource {
	return &changeSource{mode: fromStart, changed: make(chan struct{}), historyLost: make(chan struct{}), settled: make(chan struct{}), nodesRead: make(chan struct{})}
}

func (s *changeSource) state() (mode sourceMode, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// set changes the mode; it returns the former one.
func (s *changeSource) set(mode sourceMode) (former sourceMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former = s.mode
	if former != mode {
		s.mode = mode
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return former
}

// recordContact records when the store had last answered the relay that is followed.
func (s *changeSource) recordContact(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.contact) {
		s.contact = at
	}
}

// contactAge returns how long ago the store had last answered a relay of this node, 0 if it has followed none.
func (s *changeSource) contactAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contact.IsZero() {
		return 0
	}
	return now.Sub(s.contact)
}

func (s *changeSource) historyLoss() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyLost
}

// recordHistoryLoss records that a watch has lost its history; the watches of all kinds show the same loss within lossSpread.
func (s *changeSource) recordHistoryLoss(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lostAt) < lossSpread {
		return
	}
	s.lostAt = now
	close(s.historyLost)
	s.historyLost = make(chan struct{})
}

// recordNodesRead records that the nodes' entries have been read.
func (s *changeSource) recordNodesRead() {
	select {
	case <-s.settled:
		s.readOnce.Do(func() { close(s.nodesRead) })
	default:
	}
}

// awaitMode waits until the mode is the given one.
func (s *changeSource) awaitMode(ctx context.Context, mode sourceMode) error {
	for {
		current, changed := s.state()
		if current == mode {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// pausingStore is the store with its watches paused while they are not needed.
type pausingStore struct {
	object.Store
	source *changeSource
	// nodeKind is the kind that a node watches before it knows its relay, rolloutKind the one that can wait for the next relay.
	nodeKind, rolloutKind string

	now func() time.Time
	// isUnavailable reports whether the store does not answer.
	isUnavailable func() bool
	// listPurpose is what the next list is for.
	listPurpose object.Purpose
}

// List lists a kind of the store.
func (s *pausingStore) List(ctx context.Context, kind, prefix string) (object.List, error) {
	purpose := s.listPurpose
	if s.isUnavailable() {
		purpose = object.PurposeRetry
	}
	l, err := s.Store.List(object.WithPurpose(ctx, purpose), kind, prefix)
	if err == nil {
		// A list is repeated only if history was lost, unless Watch says otherwise.
		s.listPurpose = object.PurposeRestore
	}
	return l, err
}

func (s *pausingStore) watchPurpose() object.Purpose {
	if s.isUnavailable() {
		return object.PurposeRetry
	}
	if mode, _ := s.source.state(); mode == fromStart {
		return object.PurposeStart
	}
	return object.PurposeWatch
}

// Watch watches the store, or waits until the relay is lost.
//
// When all nodes of a fleet start, many objects change within a second, and most nodes are about to follow a relay, which
// passes on what they miss. Until then only the nodes' entries are watched.
func (s *pausingStore) Watch(ctx context.Context, kind string, version object.Version, handle func(object.Event)) error {
	mode, changed := s.source.state()
	if mode == fromStart && kind != s.nodeKind {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			mode, _ = s.source.state()
		}
	}
	if mode == fromRelay {
		if err := s.awaitRelayLoss(ctx, kind); err != nil {
			return err
		}
		s.listPurpose = object.PurposeTakeOver
		return errRelayLost
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if s.source.awaitMode(ctx, fromRelay) == nil {
			cancel(errRelayFollowed)
		}
	}()
	if kind == s.nodeKind {
		lost := s.source.historyLoss()
		go func() {
			select {
			case <-lost:
				cancel(errHistoryLost)
			case <-ctx.Done():
			}
		}()
	}
	err := s.Store.Watch(object.WithPurposeFunc(ctx, s.watchPurpose), kind, version, func(e object.Event) {
		handle(e)
		if kind == s.nodeKind && e.Type == object.Bookmark {
			s.source.recordNodesRead()
		}
	})
	if errors.Is(context.Cause(ctx), errRelayFollowed) {
		return errRelayFollowed
	}
	if errors.Is(context.Cause(ctx), errHistoryLost) {
		return errHistoryLost
	}
	if errors.Is(err, object.ErrGone) {
		s.source.recordHistoryLoss(s.now())
	}
	return err
}

// awaitRelayLoss waits until a kind has to be read from the store because the node has lost its relay.
//
// All followers of a relay lose it at once, and most follow the next one within a second. Verdicts on rollouts pass between nodes, so that
// the orders can be late by that time.
func (s *pausingStore) awaitRelayLoss(ctx context.Context, kind string) error {
	for {
		if err := s.source.awaitMode(ctx, fromStore); err != nil || kind != s.rolloutKind {
			return err
		}
		pause(ctx, rolloutPatience)
		if mode, _ := s.source.state(); mode != fromRelay {
			return ctx.Err()
		}
	}
}

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
	if !v.hasRelay() {
		v.source.set(fromStore)
	}
	select {
	case <-ctx.Done():
	case <-search:
	}
	for ctx.Err() == nil {
		if v.followAnyRelay(ctx) {
			continue
		}
		if v.source.set(fromStore) == fromRelay {
			v.cfg.Log.WithField("age_ms", v.source.contactAge(v.cfg.Now()).Milliseconds()).Info("relay: none available, reading from the store")
		}
		// The delay is random, so that not all nodes of a lost relay reconnect to it at once.
		pause(ctx, relayRetryInterval/2+rand.N(relayRetryInterval))
	}
}

// followAnyRelay follows the first fresh relay, and then the next; it reports whether the first ones should be tried again
// because the last one was a substitute for a relay.
func (v *fleetView) followAnyRelay(ctx context.Context) (retry bool) {
	for _, r := range v.relays() {
		// The store may serve the next relay although it rejects this one.
		began := v.cfg.Now()
		err := v.followRelay(ctx, r)
		now := v.cfg.Now()
		v.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"relay": r.Name, "tried_ms": now.Sub(began).Milliseconds(), "age_ms": v.source.contactAge(now).Milliseconds(),
		}).Info("relay: lost")
		if errors.Is(err, errSubstituteEnded) {
			return v.hasRelay()
		}
	}
	return false
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
	return r.Datacentre != v.cfg.Settings.Datacentre || v.unavailableFor(v.cfg.Now()) > 0
}

// followRelay applies the updates of one relay until the stream ends or the relay is stale.
func (v *fleetView) followRelay(ctx context.Context, r registry.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if v.isSubstitute(r) {
		retry := time.AfterFunc(substitutePeriod, func() { cancel(errSubstituteEnded) })
		defer retry.Stop()
	}
	maxAge := relay.MaxStoreAge(min(v.cfg.Settings.DrainTime, v.cfg.Settings.ConfigTime))
	joined := v.cfg.Now()
	var mu sync.Mutex
	var report relay.Report
	followed := false
	staleTimer := time.AfterFunc(time.Hour, func() {})
	defer func() { staleTimer.Stop() }()
	err := snapshot.Follow(ctx, r.Address, func(u snapshot.Update, age time.Duration) error {
		now := v.cfg.Now()
		mu.Lock()
		report = relay.Report{ReceivedAt: now, StoreAge: age, MaxStoreAge: maxAge + relay.JoinGrace(now.Sub(joined))}
		mu.Unlock()
		if !report.Fresh(now) {
			return errRelayStale
		}
		staleTimer.Stop()
		staleTimer = time.AfterFunc(report.FreshFor(now), func() { cancel(errRelayStale) })
		v.source.recordContact(now.Add(-age))
		v.applyUpdate(u, now.Add(-age))
		if u.Lists != nil && !followed {
			followed = true
			v.source.set(fromRelay)
			v.cfg.Log.WithFields(logrus.Fields{"relay": r.Name, "age_ms": age.Milliseconds()}).Info("relay: followed")
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
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

// mergeList merges a relay's list with the node's own, which may be newer.
func (v *fleetView) mergeList(kind string, l object.List, update func(object.List)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	v.mu.Lock()
	own := v.cached[kind].list()
	v.mu.Unlock()
	l = relay.MergeLists(own, l)
	v.unreadable.retain(kind, l)
	v.restored = v.noteEra(kind, l)
	v.cacheList(kind, v.compactedList(l))
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
