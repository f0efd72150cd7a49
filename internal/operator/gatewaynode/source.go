package gatewaynode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/relay"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

const (
	// rolloutPatience is how long orders of rollouts are not read from the store after a relay was lost, unless the node's view
	// of them gets too old before.
	rolloutPatience = 1500 * time.Millisecond
	// resumeAge is how old the newest change of a kind may be for a watch to go on from it: much less than the history of a store.
	resumeAge = 8 * time.Second
	// lossSpread is longer than the watches of most kinds: all of them show the same loss within it.
	lossSpread = 3 * time.Second
)

// Reasons for the end of a watch or a relay that are not failures of the store.
var (
	// errRelayFollowed ends a watch of the store because a relay now supplies the changes.
	errRelayFollowed = merry.Sentinel("a relay supplies the changes")
	// errRelayLost makes the informer list again because the relay no longer supplies changes.
	errRelayLost = fmt.Errorf("the relay is lost: %w", object.ErrGone)
	// errHistoryLost ends a watch that the store would hold open for long, when another watch shows that the store has lost its
	// history.
	errHistoryLost = fmt.Errorf("another watch has lost its history: %w", object.ErrGone)
	// errWatchRenewed ends such a watch, to be made again from the same version, when another one was never answered.
	errWatchRenewed = merry.Sentinel("another watch was not answered")
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
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	// settled is closed settleTime after the start, nodesRead once the nodes' entries have been read after it; readOnce
	// guards nodesRead.
	settled   chan struct{}
	nodesRead chan struct{}
	readOnce  sync.Once
	// historyLost is closed and replaced when a watch shows that the store has lost its history, silent when one was never answered;
	// lostAt and silentAt are when they last were.
	historyLost, silent chan struct{}
	lostAt, silentAt    time.Time
}

func newChangeSource() *changeSource {
	return &changeSource{mode: fromStart, changed: make(chan struct{}), historyLost: make(chan struct{}), silent: make(chan struct{}), settled: make(chan struct{}), nodesRead: make(chan struct{})}
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
		s.change(mode)
	}
	return former
}

// replace changes the mode if it is still the former one; it reports whether it was.
func (s *changeSource) replace(former, mode sourceMode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != former {
		return false
	}
	s.change(mode)
	return true
}

// change changes the mode; the caller holds mu.
func (s *changeSource) change(mode sourceMode) {
	s.mode = mode
	close(s.changed)
	s.changed = make(chan struct{})
}

// losses returns channels that are closed when another watch shows that the store has lost its history, and when one was never answered.
func (s *changeSource) losses() (history, silence <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyLost, s.silent
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

// recordSilence records that the store answers again after a watch that was never answered: other connections may have fallen silent
// with that of the watch.
func (s *changeSource) recordSilence(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.silentAt) < lossSpread {
		return
	}
	s.silentAt = now
	close(s.silent)
	s.silent = make(chan struct{})
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
	// waitsLong is set for a kind whose watches the store holds open for longer than others.
	waitsLong bool

	now func() time.Time
	// isUnavailable reports whether the store does not answer.
	isUnavailable func() bool
	// untilRead returns how long the node may still wait before it must read the store itself.
	untilRead func() time.Duration
	// resumeVersion returns the version of a kind up to which relays have passed on all changes; it returns false if the store may
	// no longer have the later ones.
	resumeVersion func(kind string) (object.Version, bool)
	// resumedAt is the version from which the watch last went on after a relay was lost.
	resumedAt object.Version
	// isUnanswered is set from a watch that was never answered until the store answers the next one.
	isUnanswered bool
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
		// All followers of a lost relay may come to the store at once, and a list of many targets costs each of them many calls.
		passed, ok := s.resumeVersion(kind)
		if !ok {
			return errRelayLost
		}
		s.resumedAt = passed
	}
	version = max(version, s.resumedAt)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if s.source.awaitMode(ctx, fromRelay) == nil {
			cancel(errRelayFollowed)
		}
	}()
	if s.waitsLong {
		lost, silent := s.source.losses()
		go func() {
			select {
			case <-lost:
				cancel(errHistoryLost)
			case <-silent:
				cancel(errWatchRenewed)
			case <-ctx.Done():
			}
		}()
	}
	err := s.Store.Watch(object.WithPurposeFunc(ctx, s.watchPurpose), kind, version, func(e object.Event) {
		handle(e)
		if s.isUnanswered {
			s.isUnanswered = false
			s.source.recordSilence(s.now())
		}
		if kind == s.nodeKind && e.Type == object.Bookmark {
			s.source.recordNodesRead()
		}
	})
	for _, reason := range []error{errRelayFollowed, errHistoryLost, errWatchRenewed} {
		if errors.Is(context.Cause(ctx), reason) {
			return reason
		}
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		s.isUnanswered = true
	case errors.Is(err, object.ErrGone):
		s.isUnanswered = false
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
		pause(ctx, min(rolloutPatience, s.untilRead()))
		if mode, _ := s.source.state(); mode != fromRelay {
			return ctx.Err()
		}
	}
}

// applyUpdate applies an update of a relay that last heard from the store at contact.
func (v *fleetView) applyUpdate(u snapshot.Update, contact time.Time) {
	handlers := v.handlers()
	v.recordRelayContact(contact)
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
