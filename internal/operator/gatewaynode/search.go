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
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

const (
	// relayRetryInterval is the mean time between searches for a relay while a node has none; relayInitialDelay is the
	// delay of the first search: all nodes of a deployment start within about 300 ms and are listed shortly after.
	relayRetryInterval = 2 * time.Second
	relayInitialDelay  = 900 * time.Millisecond
	// searchInterval is how long a relay may take to answer before the next one is tried beside it: lists of some 100 KB that
	// all followers of a lost relay ask for at once.
	searchInterval = 250 * time.Millisecond
	// steadyTime is how long a relay must have been followed for the ones that were lost before it to be tried again.
	steadyTime = 4 * time.Second
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
)

// Reasons for the end of a relay.
var (
	// errRelayStale ends the use of a relay that is unresponsive or has had no contact with the store for too long.
	errRelayStale = merry.Sentinel("relay is stale")
	// errSubstituteEnded ends the use of a substitute, so that the node's own relays, or the store, are tried again.
	errSubstituteEnded = merry.Sentinel("the relay was a substitute")
	// errRelayNotNeeded ends an attempt to follow a relay when another one has answered first.
	errRelayNotNeeded = merry.Sentinel("another relay is followed")
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
			v.cfg.Log.WithField("age_ms", v.viewAge(v.cfg.Now()).Milliseconds()).Info("relay: none available, reading from the store")
		}
		// The delay is random, so that not all nodes of a lost relay reconnect to it at once.
		pause(ctx, relayRetryInterval/2+rand.N(relayRetryInterval))
	}
}

// limitAge lets the node read the store once its view of it is too old, whatever relay it follows or tries to follow.
func (v *fleetView) limitAge(ctx context.Context) {
	for ctx.Err() == nil {
		mode, changed := v.source.state()
		var due <-chan time.Time
		if mode != fromStore {
			now := v.cfg.Now()
			left := v.untilRead(now)
			if left <= 0 && v.source.replace(mode, fromStore) {
				v.cfg.Log.WithFields(logrus.Fields{"age_ms": v.viewAge(now).Milliseconds(), "former": string(mode)}).Info("relay: view is too old, reading from the store")
				continue
			}
			due = time.After(max(left, 0))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-due:
		}
	}
}

// viewAge returns how long ago the store had last answered, to this node or to the relay that it followed, for the kind for which that is
// longest; 0 if nothing has been read yet.
func (v *fleetView) viewAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var age time.Duration
	for _, at := range v.lastContact {
		age = max(age, now.Sub(at))
	}
	return age
}

// untilRead returns how long from now the node may wait for a relay before it must read the store itself.
func (v *fleetView) untilRead(now time.Time) time.Duration {
	return relay.ReadAge(v.cfg.Settings.ApplyTime()) - v.viewAge(now)
}

// followAnyRelay follows one relay after the other until none is left that has not been lost; it reports whether all should be tried
// again because the last one was a substitute for a relay.
func (v *fleetView) followAnyRelay(ctx context.Context) (retry bool) {
	lost := map[string]bool{}
	relays, hasRelay := v.relays(), v.hasRelay()
	for ctx.Err() == nil {
		// Nodes may have come and gone while a relay was followed. A node that followed one in place of the store goes on to the
		// others, since it does not know whether the store answers.
		if hasRelay {
			relays = v.relays()
		}
		candidates := slices.DeleteFunc(slices.Clone(relays), func(n registry.Node) bool { return lost[n.Name] })
		end, ok := v.followFirst(ctx, candidates)
		if !ok {
			return false
		}
		if errors.Is(end.err, errSubstituteEnded) {
			return v.hasRelay()
		}
		if end.lasted >= steadyTime {
			clear(lost)
		}
		for _, name := range end.failed {
			lost[name] = true
		}
	}
	return false
}

// relayEnd is the end of the use of a relay, or of an attempt to follow it.
type relayEnd struct {
	relay registry.Node
	err   error
	// lasted is the time from the attempt to follow the relay until it was lost.
	lasted time.Duration
	// failed holds the names of the relays that did not answer before it did, and its own.
	failed []string
}

// followFirst follows the first of some relays that answers, until it is lost; it returns false if none does. The next relay is tried
// when an earlier one has failed, or beside it when it has not answered for searchInterval.
func (v *fleetView) followFirst(ctx context.Context, candidates []registry.Node) (relayEnd, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	race := newRelayRace()
	ends := make(chan relayEnd, len(candidates))
	var failed []string
	tried, running := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if tried == len(candidates) || race.isWon() {
				break
			}
			r := candidates[tried]
			tried++
			running++
			go func() { ends <- v.tryRelay(ctx, r, race) }()
			next.Reset(searchInterval)
		case end := <-ends:
			running--
			if !errors.Is(end.err, errRelayNotNeeded) {
				failed = append(failed, end.relay.Name)
			}
			if race.isWinner(end.relay.Name) {
				end.failed = failed
				return end, true
			}
			next.Reset(0)
		}
		if running == 0 && tried == len(candidates) {
			return relayEnd{}, false
		}
	}
}

// tryRelay follows a relay if it wins the race, and logs why it was lost.
func (v *fleetView) tryRelay(ctx context.Context, r registry.Node, race *relayRace) relayEnd {
	began := v.cfg.Now()
	err := v.followRelay(ctx, r, race)
	now := v.cfg.Now()
	end := relayEnd{relay: r, err: err, lasted: now.Sub(began)}
	if !errors.Is(err, errRelayNotNeeded) {
		v.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"relay": r.Name, "tried_ms": end.lasted.Milliseconds(), "age_ms": v.viewAge(now).Milliseconds(),
		}).Info("relay: lost")
	}
	return end
}

// relayRace lets a node follow the first of several relays that answers.
type relayRace struct {
	mu sync.Mutex
	// entrants holds what ends each attempt, by relay; winner is empty until a relay has answered.
	entrants map[string]context.CancelCauseFunc
	winner   string
}

func newRelayRace() *relayRace { return &relayRace{entrants: map[string]context.CancelCauseFunc{}} }

// enter adds an attempt, which cancel ends.
func (r *relayRace) enter(name string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entrants[name] = cancel
	if r.winner != "" {
		cancel(errRelayNotNeeded)
	}
}

// claim ends the other attempts if this one is the first to claim; it reports whether it is.
func (r *relayRace) claim(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != "" {
		return r.winner == name
	}
	r.winner = name
	for other, cancel := range r.entrants {
		if other != name {
			cancel(errRelayNotNeeded)
		}
	}
	return true
}

func (r *relayRace) isWon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != ""
}

func (r *relayRace) isWinner(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == name
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

// followRelay applies the updates of a relay that wins the race until the stream ends or the relay is stale.
func (v *fleetView) followRelay(ctx context.Context, r registry.Node, race *relayRace) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	race.enter(r.Name, cancel)
	if v.isSubstitute(r) {
		retry := time.AfterFunc(substitutePeriod, func() { cancel(errSubstituteEnded) })
		defer retry.Stop()
	}
	applyTime := v.cfg.Settings.ApplyTime()
	maxAge := relay.MaxStoreAge(applyTime)
	joined := v.cfg.Now()
	var mu sync.Mutex
	var report relay.Report
	followed := false
	staleTimer := time.AfterFunc(time.Hour, func() {})
	defer func() { staleTimer.Stop() }()
	err := snapshot.Follow(ctx, r.Address, func(u snapshot.Update, age time.Duration) error {
		now := v.cfg.Now()
		mu.Lock()
		report = relay.Report{ReceivedAt: now, StoreAge: age, MaxStoreAge: maxAge + relay.JoinGrace(applyTime, now.Sub(joined))}
		mu.Unlock()
		if !report.Fresh(now) {
			return errRelayStale
		}
		if !race.claim(r.Name) {
			return errRelayNotNeeded
		}
		staleTimer.Stop()
		staleTimer = time.AfterFunc(report.FreshFor(now), func() { cancel(errRelayStale) })
		if u.Lists == nil && !followed {
			// The relay tells the age of its view before it sends the lists.
			return nil
		}
		v.applyUpdate(u, now.Add(-age))
		if followed {
			// limitAge may have let the node read the store shortly before this message.
			v.source.set(fromRelay)
		}
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
