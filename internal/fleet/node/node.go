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

// Platform is what a node needs from the platform.
type Platform interface {
	object.Store
	// VMs reads the list of live and leaving VMs.
	VMs(ctx context.Context) (vm.List, error)
}

// Config is what a node is made of.
type Config struct {
	Settings settings.Settings
	Platform Platform
	Log      *logrus.Logger
	Now      func() time.Time
	// Listener is where peers are served; nil listens on the settings' address.
	Listener net.Listener
	// ServerTLS and ClientTLS are nil for plain TCP between nodes.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Seed sets the random choices.
	Seed uint64
}

// Node is one process of the system.
type Node struct {
	peerpb.UnimplementedPeerServer

	cfg     Config
	born    time.Time
	terms   lease.Terms
	log     logging.ComponentLogger
	meter   *metrics.Meter
	conns   *peer.ConnPool
	server  *peer.Server
	backend *backend.Client
	owner   *owner.Owner
	entry   *coordinator.Coordinator
	ledgers *ledgers

	self    atomic.Pointer[member.Member]
	table   atomic.Pointer[member.Table]
	catalog atomic.Pointer[catalog]
	lease   atomic.Pointer[lease.Lease]
	routes  atomic.Pointer[routes]

	// changes guards what is swapped together: the table, the catalog and what is derived from both.
	changes sync.Mutex
	leavers vm.LeavingSet
	said    map[string]time.Time

	hearing hearing
	wards   wards
	highest atomic.Uint64
	pulse   atomic.Int64
	working atomic.Int64
	closed  atomic.Bool
	// leaving is set under leaseMu once the lease is given up for good.
	leaving atomic.Bool
	leaseMu sync.Mutex

	randMu sync.Mutex
	rand   *rand.Rand

	stop  context.CancelFunc
	loops sync.WaitGroup
}

// New makes a node that does nothing yet.
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
		cfg:     cfg,
		born:    now,
		terms:   lease.Terms{Duration: s.Timing.Lease.Duration(), DriftPercent: s.Timing.ClockDrift},
		log:     logging.NewComponentLogger(cfg.Log, "node").With("node", s.Name),
		meter:   metrics.New(),
		conns:   peer.NewConnPool(cfg.ClientTLS),
		backend: backend.NewClient(),
		said:    map[string]time.Time{},
		rand:    rand.New(rand.NewPCG(cfg.Seed, uint64(len(s.Name)))),
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
	n.hearing.init(now)
	n.wards.init(now.Add(n.terms.TakeoverWait()))
	n.pulse.Store(now.UnixNano())
	n.owner = owner.New(owner.Config{Now: cfg.Now, Backend: n.backend, HasLease: n.leased, CheckBlocked: n.barred, OnTargetDraining: n.targetLeaves})
	n.ledgers = newLedgers(n)
	n.entry = coordinator.New(coordinator.Config{
		Node:         s.Name,
		Generation:   generation,
		Now:          cfg.Now,
		Fleet:        fleetView{n},
		RandIntN:     n.pick,
		OnRequestEnd: n.ended,
		OnAttempt:    n.meter.ObserveAttempt,
	})
	n.server = peer.NewServer(n, cfg.ServerTLS)
	return n, nil
}

// Start joins the fleet and begins to serve peers.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.spawn(func() { _ = n.server.Serve(n.cfg.Listener) })
	beat := n.cfg.Settings.Timing.Heartbeat.Duration()
	n.spawn(func() { n.tickLoop(ctx) })
	n.spawn(func() { n.leaseLoop(ctx) })
	n.spawn(func() { n.relayLoop(ctx) })
	n.spawn(func() { every(ctx, beat, n.beat) })
	n.spawn(func() { every(ctx, beat, n.refresh) })
	n.spawn(func() { every(ctx, beat, n.guard) })
	n.spawn(func() { every(ctx, beat, n.reconcile) })
	n.spawn(func() { every(ctx, beat, n.report) })
	n.spawn(func() { every(ctx, forgetEvery, n.forgetGone) })
	n.log.Info("started")
}

func (n *Node) spawn(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

const forgetEvery = time.Minute

// every runs f at once and then after each pause of d, until ctx ends.
func every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		pause(ctx, d)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Name is the node's name.
func (n *Node) Name() string { return n.cfg.Settings.Name }

// Entry is where callers' requests go in.
func (n *Node) Entry() *coordinator.Coordinator { return n.entry }

// Meter is the node's metrics.
func (n *Node) Meter() *metrics.Meter { return n.meter }

// Self is the node's own row.
func (n *Node) Self() member.Member { return *n.self.Load() }

// Members is the node's table of members.
func (n *Node) Members() *member.Table { return n.table.Load() }

// PeerAddress is where peers reach the node.
func (n *Node) PeerAddress() string { return n.Self().PeerAddress }

// Release is the release in force, nil if there is none yet.
func (n *Node) Release() *release.Release { return n.catalog.Load().release }

// Ready tells whether the balancer should send callers here.
func (n *Node) Ready() bool {
	now := n.cfg.Now()
	if _, closed := n.Unavailable(now); closed {
		return false
	}
	state := n.Self().State
	return (state == member.Live || state == member.Joining) && !n.out(n.cfg.Settings.Datacentre)
}

// Unavailable tells why the node takes no new requests, if so.
func (n *Node) Unavailable(now time.Time) (outcome.NotRun, bool) {
	retry := n.cfg.Settings.Timing.Heartbeat.Duration()
	switch {
	case n.closed.Load():
		return outcome.NotRun{Reason: outcome.Stopping, Text: "this node is stopping", RetryAfter: retry}, true
	case n.Release() == nil:
		return outcome.NotRun{Reason: outcome.NotReady, Text: "this node has no release yet", RetryAfter: retry}, true
	case !n.open(now):
		return outcome.NotRun{Reason: outcome.Isolated, Text: "this node hears too little of the fleet", RetryAfter: n.cfg.Settings.Timing.IsolationTimeout.Duration()}, true
	}
	return outcome.NotRun{}, false
}

func (n *Node) pick(count int) int {
	n.randMu.Lock()
	defer n.randMu.Unlock()
	return n.rand.IntN(count)
}

func (n *Node) ended(r request.Request, o outcome.Outcome, took time.Duration) {
	record := outcome.ToRecord(o)
	name := r.Pipeline
	// A name that callers made up must not become a label.
	if record.Reason == outcome.Invalid {
		name = "unknown"
	}
	n.meter.RecordRequest(name, string(record.Outcome), string(record.Reason), took)
	if record.Outcome != outcome.KindAnswered {
		n.log.With("request", r.ID).With("outcome", record.Outcome).With("reason", record.Reason).Debug("request was not answered")
	}
}

func (n *Node) report(context.Context) {
	n.meter.Gauge("release", float64(n.releaseNumber()))
	n.meter.Gauge("active_requests", float64(n.entry.Active()))
	n.meter.Gauge("owned_targets", float64(len(n.owner.Targets())))
	n.meter.Gauge("held_shards", float64(n.ledgers.held()))
	n.meter.Gauge("foreign_answers", float64(n.backend.Counts.Mismatched.Load()))
	n.meter.Gauge("silent_connections", float64(n.backend.Counts.Silent.Load()))
}

// tickEvery is how often waiting jobs are looked at, pauseBound the gap that shows that the process was paused.
const (
	tickEvery  = 20 * time.Millisecond
	pauseBound = time.Second
)

func (n *Node) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := n.cfg.Now()
		if n.paused(now) && !n.leased(now) {
			n.chill()
		}
		n.pulse.Store(now.UnixNano())
		n.owner.Tick(now)
		pause(ctx, tickEvery)
	}
}

// paused tells whether the process seems to have stood still: its own ticks are missing.
func (n *Node) paused(now time.Time) bool {
	return now.UnixNano()-n.pulse.Load() > int64(pauseBound)
}

func (n *Node) leased(now time.Time) bool { return n.lease.Load().Valid(now) }
