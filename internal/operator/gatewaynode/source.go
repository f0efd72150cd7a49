package gatewaynode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
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
	// errNoLists ends the stream of a node that has sent its lists while its view was stale.
	errNoLists = merry.Sentinel("the node's lists have not come with a fresh view")
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
	// fromReads is the mode of a node whose relays are not fresh and that has read the store once.
	fromReads sourceMode = "reads"
)

// changeSource holds the mode of a node.
type changeSource struct {
	mu   sync.Mutex
	mode sourceMode
	// hasRelay is set once a node that has just started knows that it has a relay.
	hasRelay bool
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

// recordHasRelay records that a node that has just started has a relay.
func (s *changeSource) recordHasRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRelay = true
}

// canBeFollowed reports whether the node reads the changes that it has itself.
func (s *changeSource) canBeFollowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode != fromRelay && (s.mode != fromStart || !s.hasRelay)
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
	// nodeKind is the kind that a node watches before it knows its relay.
	nodeKind string
	now      func() time.Time
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
	if mode == fromRelay || mode == fromReads {
		if err := s.source.awaitMode(ctx, fromStore); err != nil {
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
