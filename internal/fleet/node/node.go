package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/coordinator"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// Platform is the part of the platform that a node uses.
type Platform interface {
	object.Store
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) (vm.List, error)
	// Era returns the latest era that an answer has named, 0 if none; RaiseEra records one that is known otherwise, and returns
	// an error if a later one is known.
	Era() uint64
	RaiseEra(era uint64) error
}

// Config holds the settings and dependencies of a node.
type Config struct {
	Settings settings.Settings
	Platform Platform
	Log      *logrus.Logger
	Now      func() time.Time
	// Listener accepts the connections of peers; if nil, the node listens on the address in the settings.
	Listener net.Listener
	// ServerTLS and ClientTLS are nil for plain TCP between nodes.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Seed seeds the random choices.
	Seed uint64
}

// Node is one member of the fleet.
type Node struct {
	peerpb.UnimplementedPeerServer

	cfg         Config
	startedAt   time.Time
	leaseTerms  lease.Terms
	log         logging.ComponentLogger
	meter       *metrics.Meter
	conns       *peer.ConnPool
	server      *peer.Server
	backend     *backend.Client
	owner       *owner.Owner
	coordinator *coordinator.Coordinator
	ledgers     *ledgers

	self    atomic.Pointer[member.Member]
	table   atomic.Pointer[member.Table]
	catalog atomic.Pointer[catalog]
	lease   atomic.Pointer[lease.Lease]
	routes  atomic.Pointer[routes]

	// changes guards the state that is replaced together: the table, the catalog, the leaving VMs, the draining
	// targets and the routes derived from them.
	changes         sync.Mutex
	leavingVMs      vm.LeavingSet
	drainingTargets map[string]time.Time

	contacts       contacts
	handovers      handovers
	era            eraState
	witness        witnessState
	highestRelease atomic.Uint64
	lastTick       atomic.Int64
	activeAttempts atomic.Int64
	// closed is set once the node no longer takes attempts on its targets.
	closed atomic.Bool
	// leaseGivenUp is set under leaseMu before the node ends its lease; from then on it neither renews nor joins.
	leaseGivenUp atomic.Bool
	leaseMu      sync.Mutex

	randMu sync.Mutex
	rand   *rand.Rand

	stop  context.CancelFunc
	loops sync.WaitGroup
}

// New returns a node that is not started.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	if cfg.Listener == nil {
		l, err := net.Listen("tcp", s.Peer.Address)
		if err != nil {
			return nil, merry.Prepend(err, "listen for peers")
		}
		cfg.Listener = l
	}
	advertise := s.Peer.Advertise
	if advertise == "" {
		advertise = cfg.Listener.Addr().String()
	}
	now := cfg.Now()
	n := &Node{
		cfg:             cfg,
		startedAt:       now,
		leaseTerms:      lease.Terms{Duration: s.Timing.Lease.Duration(), DriftPercent: s.Timing.ClockDrift},
		log:             logging.NewComponentLogger(cfg.Log, "node").With("node", s.Name),
		meter:           metrics.New(),
		conns:           peer.NewConnPool(cfg.ClientTLS),
		backend:         backend.NewClient(),
		drainingTargets: map[string]time.Time{},
		handovers:       handovers{byTarget: map[string]handover{}},
		rand:            rand.New(rand.NewPCG(cfg.Seed, uint64(len(s.Name)))),
	}
	generation := uint64(now.UnixMilli())
	n.self.Store(&member.Member{
		Name:          s.Name,
		Generation:    generation,
		Datacentre:    s.Datacentre,
		PeerAddress:   advertise,
		CallerAddress: s.Caller.Address,
		State:         member.Joining,
	})
	n.table.Store(member.NewTable([]member.Member{*n.self.Load()}))
	n.lease.Store(&lease.Lease{Generation: generation})
	n.catalog.Store(&catalog{})
	n.routes.Store(&routes{})
	n.contacts.init(now)
	n.era.init()
	n.witness.init(now.Add(n.leaseTerms.TakeoverWait()))
	n.lastTick.Store(now.UnixNano())
	n.owner = owner.New(owner.Config{Now: cfg.Now, Backend: n.backend, HasLease: n.hasLease, CheckBlocked: n.checkBlocked, OnLimit: n.logLimit, OnTargetDraining: n.markTargetDraining})
	n.ledgers = newLedgers(n)
	n.coordinator = coordinator.New(coordinator.Config{
		Node:         s.Name,
		Generation:   generation,
		Now:          cfg.Now,
		Fleet:        fleetView{n},
		RandIntN:     n.randIntN,
		OnRequestEnd: n.recordRequest,
		OnAttempt:    n.meter.RecordAttempt,
	})
	n.server = peer.NewServer(n, cfg.ServerTLS)
	return n, nil
}

// Start serves peers and starts the background loops, which join the fleet.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.spawn(func() { _ = n.server.Serve(n.cfg.Listener) })
	heartbeat := n.cfg.Settings.Timing.Heartbeat.Duration()
	n.spawn(func() { n.tickLoop(ctx) })
	n.spawn(func() { n.leaseLoop(ctx) })
	n.spawn(func() { n.eraLoop(ctx) })
	n.spawn(func() { n.relayLoop(ctx) })
	n.spawn(func() { runEvery(ctx, heartbeat, n.sendHeartbeats) })
	n.spawn(func() { runEvery(ctx, heartbeat, n.refreshHead) })
	n.spawn(func() { runEvery(ctx, heartbeat, n.checkPeers) })
	n.spawn(func() { runEvery(ctx, heartbeat, n.reconcile) })
	n.spawn(func() { runEvery(ctx, heartbeat, n.updateGauges) })
	n.spawn(func() { runEvery(ctx, pruneInterval, n.pruneMembers) })
	n.spawn(func() { runEvery(ctx, pruneInterval, func(context.Context) { n.ledgers.pruneCarries(n.cfg.Now()) }) })
	n.log.Info("started")
}

func (n *Node) spawn(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

const pruneInterval = time.Minute

// runEvery runs f immediately and then after each interval d, until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		sleep(ctx, d)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.cfg.Settings.Name }

// Coordinator returns the coordinator, which runs callers' requests.
func (n *Node) Coordinator() *coordinator.Coordinator { return n.coordinator }

// Meter returns the node's metrics.
func (n *Node) Meter() *metrics.Meter { return n.meter }

// Self returns the node's own member row.
func (n *Node) Self() member.Member { return *n.self.Load() }

// Members returns the member table.
func (n *Node) Members() *member.Table { return n.table.Load() }

// PeerAddress returns the address at which peers reach the node.
func (n *Node) PeerAddress() string { return n.Self().PeerAddress }

// Release returns the active release, nil if there is none yet.
func (n *Node) Release() *release.Release { return n.catalog.Load().release }

// Ready reports whether the load balancer should send callers to this node.
func (n *Node) Ready() bool {
	now := n.cfg.Now()
	if _, unavailable := n.Unavailable(now); unavailable {
		return false
	}
	state := n.Self().State
	return (state == member.Live || state == member.Joining) && !n.isOutOfService(n.cfg.Settings.Datacentre)
}

// Unavailable reports whether the node takes no new requests, and returns the outcome that they get.
func (n *Node) Unavailable(now time.Time) (outcome.NotRun, bool) {
	retry := n.cfg.Settings.Timing.Heartbeat.Duration()
	switch {
	case n.Release() == nil:
		return outcome.NotRun{Reason: outcome.NotReady, Text: "this node has no release yet", RetryAfter: retry}, true
	case !n.hasQuorum(now):
		return outcome.NotRun{Reason: outcome.Isolated, Text: "this node hears too little of the fleet", RetryAfter: n.cfg.Settings.Timing.IsolationTimeout.Duration()}, true
	}
	return outcome.NotRun{}, false
}

func (n *Node) randIntN(count int) int {
	n.randMu.Lock()
	defer n.randMu.Unlock()
	return n.rand.IntN(count)
}

func (n *Node) recordRequest(r request.Request, o outcome.Outcome, elapsed time.Duration) {
	record := outcome.ToRecord(o)
	name := r.Pipeline
	// A pipeline name that callers invent must not become a label.
	if record.Reason == outcome.Invalid {
		name = "unknown"
	}
	n.meter.RecordRequest(name, string(record.Outcome), string(record.Reason), elapsed)
	if record.Outcome != outcome.KindAnswered {
		n.log.With("request", r.ID).With("outcome", record.Outcome).With("reason", record.Reason).Debug("request was not answered")
	}
}

func (n *Node) updateGauges(context.Context) {
	n.meter.Gauge("release", float64(n.releaseNumber()))
	n.meter.Gauge("active_requests", float64(n.coordinator.Active()))
	n.meter.Gauge("owned_targets", float64(len(n.owner.Targets())))
	n.meter.Gauge("held_shards", float64(n.ledgers.heldCount()))
	n.meter.Gauge("foreign_answers", float64(n.backend.Counts.Mismatched.Load()))
	n.meter.Gauge("silent_connections", float64(n.backend.Counts.Stalled.Load()))
}

// tickInterval is how often waiting jobs are checked; a gap between ticks longer than pauseThreshold means that the
// process was paused.
const (
	tickInterval   = 20 * time.Millisecond
	pauseThreshold = time.Second
)

func (n *Node) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := n.cfg.Now()
		if n.paused(now) && !n.hasLease(now) {
			n.markAllCold()
		}
		n.lastTick.Store(now.UnixNano())
		n.checkEra(now)
		n.owner.Tick(now)
		sleep(ctx, tickInterval)
	}
}

// paused reports whether the process seems to have been paused, since its ticks are overdue.
func (n *Node) paused(now time.Time) bool {
	return now.UnixNano()-n.lastTick.Load() > int64(pauseThreshold)
}

func (n *Node) hasLease(now time.Time) bool { return n.lease.Load().Valid(now) }
