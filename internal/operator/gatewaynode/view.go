package gatewaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/informer"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

// unavailablePause is the minimum wait before another kind of object is read while the store is unavailable for the
// configuration; it bounds the cost of a store that answers for only some kinds.
const unavailablePause = 5 * time.Second

const (
	// outageHold is how long a target stays in use after the store is available again if its entry disappeared during the
	// outage; a live target is back in the store in about two seconds.
	outageHold = 1500 * time.Millisecond
	// lapseHeartbeats is the length of the shortest outage, in heartbeats of targets, in which the entry of a live target may lapse: it
	// does so after three without a write, the first of which may have been under way when the outage began.
	lapseHeartbeats = 2
)

// Adapter names the platform's kinds of object and translates its objects.
type Adapter struct {
	// ConfigKind, TargetKind, EvacuationKind and NodeKind are the kinds of object; ConfigName names the configuration in
	// force.
	ConfigKind, TargetKind, EvacuationKind, NodeKind, ConfigName string
	// ParseTable parses a configuration and lists the parts of it that cannot be used.
	ParseTable func(spec []byte) (*route.Table, validation.Violations, error)
	// ParseTarget parses a target's entry as seen at a time.
	ParseTarget func(now time.Time, o object.Object) (registry.Target, error)
	// ParseNode parses a node's entry; NodeEntry returns the entry to write for a node.
	ParseNode func(o object.Object) (registry.Node, error)
	NodeEntry func(n registry.Node) any
	// CrashReportName returns the name of a node's report of crashes, an object of NodeKind; CrashReportNode returns the node
	// of such a name, "" for the name of an entry.
	CrashReportName func(node string) string
	CrashReportNode func(name string) string
	// ParseCrashReport parses a node's report of crashes; CrashReport returns the report to write.
	ParseCrashReport func(o object.Object) (quarantine.Report, error)
	CrashReport      func(r quarantine.Report) any
	// QuarantineName names the object of NodeKind with what the fleet shares about requests in quarantine.
	QuarantineName string
	// ParseQuarantine parses that object; QuarantineEntry returns the one to write.
	ParseQuarantine func(o object.Object) (quarantine.Shared, error)
	QuarantineEntry func(s quarantine.Shared) any
	// RolloutKind is the kind of the operators' orders of rollouts, whose objects have the names of their services.
	RolloutKind string
	// ParseRollout parses an order and its status; RolloutStatus returns the status to write.
	ParseRollout  func(o object.Object) (rollout.Order, rollout.Status, error)
	RolloutStatus func(s rollout.Status) any
}

// fleetView is a node's current view of the configuration and the fleet.
type fleetView struct {
	cfg   Config
	meter *metrics.Meter
	// startedAt is the start time of the process in Unix milliseconds.
	startedAt int64
	table     atomic.Pointer[route.Table]
	registry  atomic.Pointer[registry.Registry]
	// nodeListChanged is when the list of nodes last changed.
	nodeListChanged time.Time
	targetsListed   atomic.Bool
	rolloutsListed  atomic.Bool
	// tableLoaded is closed once there is a table.
	tableLoaded chan struct{}
	// nodesListed is closed once the nodes' entries have been listed; listOnce guards it.
	nodesListed chan struct{}
	listOnce    sync.Once
	onChange    func()

	// updateMu prevents another node's older list from overwriting one read from the store, and guards pending.
	updateMu sync.Mutex
	// pending holds the events of targets that are not in the registry yet.
	pending []object.Event
	// restored is set while a list is applied that is the first one after the store came back from an older copy.
	restored bool

	mu sync.Mutex
	// outOfService and nodes hold the objects of the two kinds, by name; nodesChanged is set while changes of nodes are not
	// in the registry yet.
	outOfService map[string]bool
	nodes        map[string]registry.Node
	nodesChanged bool
	// unavailableSince holds, by kind, when the store became unavailable if it is; availableSince holds when it last became
	// available again after an outage in which entries may have lapsed.
	unavailableSince map[string]time.Time
	availableSince   map[string]time.Time
	// available is closed and replaced when the store is available again for the configuration, the kind that is
	// retried.
	available chan struct{}
	// cached holds the objects that were read, by kind, for nodes that start while the store is unavailable.
	cached map[string]*cachedList
	// lastContact is when the store, or a relay in its place, last answered, by kind.
	lastContact map[string]time.Time

	unreadable unreadableObjects

	// broadcaster forwards changes to the nodes that use this one as their relay.
	broadcaster snapshot.Broadcaster
	source      *changeSource

	// ownEntry is nil while the node has no entry; entryLost is sent to when the store has lost it.
	ownEntry atomic.Pointer[ownEntry]
	// ownReport is the node's report of crashes as it was last written, nil while there is none.
	ownReport atomic.Pointer[ownEntry]
	crashes   *crashReporter
	// rollouts is nil for a deployment without rollouts; onRollout is called when an order or its state has changed.
	rollouts  *rollout.Keeper
	onRollout func()
	shared    *sharedQuarantine
	entryLost chan struct{}
}

func newFleetView(cfg Config, m *metrics.Meter) *fleetView {
	v := &fleetView{cfg: cfg, meter: m, startedAt: cfg.Now().UnixMilli(), tableLoaded: make(chan struct{}), nodesListed: make(chan struct{}), outOfService: map[string]bool{}, nodes: map[string]registry.Node{}, unavailableSince: map[string]time.Time{}, availableSince: map[string]time.Time{}, available: make(chan struct{}), cached: map[string]*cachedList{}, lastContact: map[string]time.Time{}, source: newChangeSource(), entryLost: make(chan struct{}, 1)}
	v.registry.Store(registry.New())
	return v
}

// kindHandler applies the lists and events of one kind of object.
type kindHandler struct {
	replace func(object.List)
	apply   func(object.Event)
}

// isListed reports whether the node has read what it needs to serve requests.
func (v *fleetView) isListed() bool {
	return v.table.Load() != nil && v.targetsListed.Load() && (!v.rollouts.IsEnabled() || v.rolloutsListed.Load())
}

// handlers returns the handler of every kind that a node follows.
func (v *fleetView) handlers() map[string]kindHandler {
	p := v.cfg.Platform
	list := map[string]kindHandler{
		p.ConfigKind:     {v.replaceConfig, v.applyConfig},
		p.TargetKind:     {v.replaceTargets, v.applyTarget},
		p.EvacuationKind: {v.replaceEvacuations, v.applyEvacuation},
		p.NodeKind:       {v.replaceNodes, v.applyNode},
	}
	if v.rollouts.IsEnabled() {
		list[p.RolloutKind] = kindHandler{v.replaceRollouts, v.applyRollout}
	}
	return list
}

func (v *fleetView) runInformer(ctx context.Context, kind string, h kindHandler) {
	store := &pausingStore{
		Store: v.cfg.Store, source: v.source, nodeKind: v.cfg.Platform.NodeKind, rolloutKind: v.cfg.Platform.RolloutKind, waitsLong: kind != v.cfg.Platform.ConfigKind && kind != v.cfg.Platform.TargetKind, now: v.cfg.Now, listPurpose: object.PurposeStart,
		untilRead:     func() time.Duration { return v.untilRead(v.cfg.Now()) },
		resumeVersion: func(kind string) (object.Version, bool) { return v.resumeVersion(v.cfg.Now(), kind) },
		isUnavailable: func() bool {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.isUnavailable(kind)
		},
	}
	informer.New(informer.Config{
		Store: store, Kind: kind,
		Replace:   func(l object.List) { v.replace(kind, l, h.replace) },
		Apply:     func(e object.Event) { v.apply(kind, e, h.apply) },
		OnContact: func() { v.recordContact(kind, v.cfg.Now()) },
		OnError:   func(err error) { v.recordFailure(kind, err) },
		Backoff:   func(ctx context.Context, d time.Duration) { v.backOff(ctx, kind, d) },
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}).Run(ctx)
}

// replace applies a list from the store and forwards it to followers.
func (v *fleetView) replace(kind string, l object.List, update func(object.List)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	v.unreadable.retain(kind, l)
	l = v.named(l)
	v.restored = v.noteEra(kind, l)
	kept := v.compactedList(l)
	v.cacheList(kind, kept)
	v.broadcaster.Publish(snapshot.Update{Lists: map[string]object.List{kind: kept}})
	update(l)
}

// apply applies an event from the store and forwards it to followers.
func (v *fleetView) apply(kind string, e object.Event, update func(object.Event)) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	if !v.hasName(e.Object) {
		return
	}
	kept := object.Event{Type: e.Type, Object: v.compacted(e.Object)}
	v.cacheEvent(kind, kept)
	v.broadcaster.Publish(snapshot.Update{Events: []object.Event{kept}})
	update(e)
}

// cachedList holds the objects read of one kind, as of a version.
type cachedList struct {
	version object.Version
	objects map[string]object.Object
	// changedAt is when the newest change was received, zero if there was none since the list.
	changedAt time.Time
}

func (c *cachedList) list() object.List {
	l := object.List{}
	if c == nil {
		return l
	}
	l.Version = c.version
	l.Items = make([]object.Object, 0, len(c.objects))
	for _, o := range c.objects {
		l.Items = append(l.Items, o)
	}
	return l
}

// cacheList replaces the cached objects of a kind.
func (v *fleetView) cacheList(kind string, l object.List) {
	c := &cachedList{version: l.Version, objects: make(map[string]object.Object, len(l.Items))}
	for _, o := range l.Items {
		c.objects[o.Name] = o
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cached[kind] = c
}

// cacheEvent applies an event to the cached objects of its kind.
func (v *fleetView) cacheEvent(kind string, e object.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.cached[kind]
	if c == nil {
		c = &cachedList{objects: map[string]object.Object{}}
		v.cached[kind] = c
	}
	c.version = max(c.version, e.Object.Version)
	c.changedAt = v.cfg.Now()
	if e.Type == object.Put {
		c.objects[e.Object.Name] = e.Object
	} else {
		delete(c.objects, e.Object.Name)
		v.unreadable.remove(kind, e.Object.Name)
	}
}

// resumeVersion returns the version of a kind up to which all changes have been received; it returns false if the store may no longer have
// the later ones.
func (v *fleetView) resumeVersion(now time.Time, kind string) (object.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.cached[kind]
	if c == nil || now.Sub(c.changedAt) > resumeAge {
		return 0, false
	}
	return c.version, true
}

// Lists returns the cached objects by kind.
func (v *fleetView) Lists() map[string]object.List {
	v.mu.Lock()
	defer v.mu.Unlock()
	lists := make(map[string]object.List, len(v.cached))
	for kind, c := range v.cached {
		lists[kind] = c.list()
	}
	return lists
}

// Subscribe returns the cached objects, a channel of all later changes, and a function that ends the subscription.
func (v *fleetView) Subscribe() (map[string]object.List, <-chan snapshot.Update, func()) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	ch := v.broadcaster.Subscribe()
	return v.Lists(), ch, func() { v.broadcaster.Unsubscribe(ch) }
}

// followerStaleness is the staleness of a node that follows another one, above any limit.
const followerStaleness = time.Hour

// Staleness returns the time since the store last answered for the configuration or for targets, whichever is longer.
//
// A node that follows another one cannot be followed: two nodes that follow each other would both wait for changes that
// neither reads.
func (v *fleetView) Staleness() time.Duration {
	if mode, _ := v.source.state(); mode == fromRelay {
		return followerStaleness
	}
	now := v.cfg.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.cfg.Platform
	return max(now.Sub(v.lastContact[p.ConfigKind]), now.Sub(v.lastContact[p.TargetKind]))
}

// loadLists applies another node's lists for the kinds that have not been read from the store yet.
func (v *fleetView) loadLists(lists map[string]object.List) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	for kind, h := range v.handlers() {
		v.mu.Lock()
		_, read := v.cached[kind]
		v.mu.Unlock()
		if l, ok := lists[kind]; ok && !read {
			h.replace(l)
			v.cfg.Log.WithFields(logrus.Fields{"kind": kind, "revision": l.Version.Revision(), "objects": len(l.Items)}).Info("store: using another node's list")
		}
	}
}

// recordContact records that the store answered for a kind at a time, to this node or to its relay.
func (v *fleetView) recordContact(kind string, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markAvailable(kind)
	if at.After(v.lastContact[kind]) {
		v.lastContact[kind] = at
	}
}

// recordRelayContact records that the store answered the relay of this node at a time, for all kinds. Whether it would answer this node
// is not known from that.
func (v *fleetView) recordRelayContact(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for kind := range v.handlers() {
		if at.After(v.lastContact[kind]) {
			v.lastContact[kind] = at
		}
	}
}

// mayHaveLapsed reports whether entries of live targets may have lapsed in a time without contact with the store: a watch that was cut
// off is no outage.
func mayHaveLapsed(silence, heartbeat time.Duration) bool {
	return silence >= lapseHeartbeats*heartbeat
}

// markAvailable records that the store answers for a kind; the caller holds mu.
func (v *fleetView) markAvailable(kind string) {
	if v.isUnavailable(kind) {
		now := v.cfg.Now()
		silence := now.Sub(v.lastContact[kind])
		isHeld := mayHaveLapsed(silence, v.cfg.Settings.Heartbeat)
		delete(v.unavailableSince, kind)
		if isHeld {
			v.availableSince[kind] = now
		}
		v.meter.CountStoreChange(kind, "back")
		if kind == v.cfg.Platform.ConfigKind {
			close(v.available)
			v.available = make(chan struct{})
		}
		v.cfg.Log.WithFields(logrus.Fields{"kind": kind, "silence_ms": silence.Milliseconds(), "holds": isHeld}).Info("store: available again")
	}
}

// backOff waits before a kind is read from the store again. While the store is unavailable for the configuration, only
// the configuration is retried: each call is costly, and all nodes make them.
func (v *fleetView) backOff(ctx context.Context, kind string, d time.Duration) {
	v.mu.Lock()
	isUnavailable, available := v.isUnavailable(v.cfg.Platform.ConfigKind), v.available
	v.mu.Unlock()
	if isUnavailable && kind != v.cfg.Platform.ConfigKind {
		d = max(d, unavailablePause)
	} else {
		available = nil
	}
	select {
	case <-ctx.Done():
	case <-available:
	case <-time.After(d):
	}
}

// recordFailure records that the store did not answer for a kind.
func (v *fleetView) recordFailure(kind string, err error) {
	if errors.Is(err, errRelayFollowed) || errors.Is(err, errRelayLost) || errors.Is(err, errWatchRenewed) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if errors.Is(err, object.ErrGone) {
		v.cfg.Log.WithField("kind", kind).Info("store: history no longer available, listing again")
		v.markAvailable(kind)
		return
	}
	if !v.isUnavailable(kind) {
		v.unavailableSince[kind] = v.cfg.Now()
		v.meter.CountStoreChange(kind, "lost")
		v.cfg.Log.WithError(err).WithField("kind", kind).Warn("store: does not answer")
	}
}

// isUnavailable reports whether the store does not answer for a kind; the caller holds mu.
func (v *fleetView) isUnavailable(kind string) bool {
	_, ok := v.unavailableSince[kind]
	return ok
}

// unavailableFor returns how long the store has not answered for the configuration, 0 if it does.
func (v *fleetView) unavailableFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if since, ok := v.unavailableSince[v.cfg.Platform.ConfigKind]; ok {
		return now.Sub(since)
	}
	return 0
}

// holdUntil returns the time until which targets without an entry stay in use, zero if there was no recent outage.
func (v *fleetView) holdUntil(now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	since, ok := v.availableSince[v.cfg.Platform.TargetKind]
	if !ok || now.Sub(since) >= outageHold {
		return time.Time{}
	}
	return since.Add(outageHold)
}

// nodesChangedAt returns when the list of nodes last changed.
func (v *fleetView) nodesChangedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodeListChanged
}

func (v *fleetView) updateRegistry(change func(*registry.Registry) *registry.Registry) {
	v.mu.Lock()
	before := v.registry.Load()
	r := change(before)
	v.registry.Store(r)
	if !slices.Equal(before.NodeNames(), r.NodeNames()) {
		v.nodeListChanged = v.cfg.Now()
	}
	v.mu.Unlock()
	v.meter.Gauge("targets", float64(r.TargetCount()))
	v.meter.Gauge("nodes", float64(len(r.NodeNames())))
	v.onChange()
}
