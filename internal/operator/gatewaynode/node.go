package gatewaynode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/gateway"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/intake"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit"
	rolloutwire "github.com/lacewingdrift/lacewingdrift/internal/wire/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const (
	// registerRetry is the delay before another attempt to write the node's entry.
	registerRetry = time.Second
	// deregisterTimeout bounds the removal of the node's entry.
	deregisterTimeout = time.Second
	// bootstrapDelay is how long the store may take to return the first lists before other nodes are asked for theirs.
	bootstrapDelay = 400 * time.Millisecond
	// crashWait bounds how long requests may wait for the reports of crashes at a node that starts.
	crashWait = 2 * time.Second
	// peerWait is how long the lists of further nodes are waited for once one has answered.
	peerWait = 300 * time.Millisecond
	// pruneInterval is the time between two removals of state about targets that no longer exist.
	pruneInterval = time.Minute
	// keepAliveInterval and keepAliveProbes bound how long a caller's unresponsive connection is kept.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	// headerTimeout, idleTimeout and maxHeaderBytes bound what callers may send before the configuration is known;
	// they are above the limits that operators set.
	headerTimeout  = 20 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 256 << 10
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	Settings settings.Gateway
	Platform Adapter
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath   string
	Store       object.Store
	Meter       *metrics.Meter
	Headers     gateway.HeaderCodec
	StageClient dispatch.TargetClient
	Connections *connection.Pool
	// GracePeriod reads the grace period that the settings name now; it may be nil.
	GracePeriod func() (time.Duration, error)
	Log         logrus.FieldLogger
	Now         func() time.Time
}

// Node is one gateway process on the users' platform.
type Node struct {
	cfg            Config
	view           *fleetView
	meter          *metrics.Meter
	notices        *notice.Keeper
	permits        *permit.Client
	keeper         *permit.Keeper
	dispatcher     *dispatch.Dispatcher
	dispatchClient *dispatch.Client
	gateway        *gateway.Gateway
	// rollouts is nil for a deployment without rollouts.
	rollouts        *rolloutwire.Follower
	peerServer      *grpc.Server
	callerServer    *http.Server
	callerListener  *transport.Listener
	internalServers []*http.Server
	draining        atomic.Bool
	// crashesKnown is closed once the reports of crashes have been read, or have not come for crashWait.
	crashesKnown chan struct{}
	cancel       context.CancelFunc
}

// Start opens the node's listeners and starts to follow the store.
func Start(cfg Config) (*Node, error) {
	cfg.Log = cfg.Log.WithField("node", cfg.Settings.Name)
	n := &Node{cfg: cfg, view: newFleetView(cfg, cfg.Meter), meter: cfg.Meter, crashesKnown: make(chan struct{})}
	n.build()
	if err := n.listen(); err != nil {
		return nil, merry.Prepend(err, "start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for kind, h := range n.view.handlers() {
		go n.view.runInformer(ctx, kind, h)
	}
	go n.register(ctx)
	go n.prune(ctx)
	go n.sweepConnections(ctx)
	go n.bootstrap(ctx)
	go n.view.followRelays(ctx)
	go n.view.limitAge(ctx)
	go n.awaitCrashes(ctx)
	go n.view.crashes.writeReports(ctx)
	go n.view.crashes.logVerdicts(ctx)
	if n.rollouts != nil {
		go n.rollouts.Run(ctx)
	}
	cfg.Log.WithFields(logrus.Fields{"datacentre": cfg.Settings.Datacentre, "address": cfg.Settings.CallerAddress}).Info("node: started")
	return n, nil
}

func (n *Node) build() {
	s := n.cfg.Settings
	n.view.crashes = newCrashReporter(n)
	n.view.shared = newSharedQuarantine(n, n.view.crashes.keeper)
	n.notices = notice.NewKeeper(notice.KeeperConfig{OnNotice: n.onNotice, OnInvalid: n.onInvalidNotice})
	n.permits = permit.NewClient(permit.ClientConfig{Self: s.Name, Registry: n.view.registry.Load, Notices: n.notices, Log: n.cfg.Log, Now: n.cfg.Now, Meter: n.meter})
	n.keeper = permit.NewKeeper(permit.KeeperConfig{
		Self: s.Name, StartedAt: n.cfg.Now(), Registry: n.view.registry.Load, NodesChangedAt: n.view.nodesChangedAt, Notices: n.notices, Log: n.cfg.Log, Now: n.cfg.Now,
		IsLost: n.permits.IsLost, Check: n.permits.Check,
	})
	n.permits.SetLocal(n.keeper)
	n.buildRollouts()
	crashes := connection.CrashDetector{Connections: n.cfg.Connections, Registry: n.view.registry.Load, Notices: n.notices}
	n.dispatcher = dispatch.New(dispatch.Config{
		Self: s.Name, Notices: n.notices, Permits: n.permits,
		Targets: n.cfg.StageClient, Table: n.view.table.Load, Ready: n.view.tableLoaded, Registry: n.view.registry.Load, Log: n.cfg.Log, Meter: n.meter, Now: n.cfg.Now,
		Quarantine: n.view.crashes.keeper, Rollouts: n.view.rollouts, CrashedRun: crashes.CrashedRun, TakeTrial: n.view.shared.takeTrial, PassTrial: n.view.shared.passTrial,
		AllowRetry:      func(now time.Time, service string) bool { return n.gateway.AllowRetry(now, service) },
		RecordFirstSend: func(now time.Time, service string) { n.gateway.RecordFirstSend(now, service) },
	})
	n.view.onChange = func() {
		n.dispatcher.Refresh()
		n.keeper.Refresh()
	}
	n.dispatchClient = dispatch.NewClient(dispatch.ClientConfig{Self: s.Name, Local: n.dispatcher, Registry: n.view.registry.Load, Notices: n.notices, Log: n.cfg.Log, Now: n.cfg.Now})
	n.gateway = gateway.New(gateway.Config{
		Self: s.Name, Datacentre: s.Datacentre, StartedAt: n.cfg.Now(), Headers: n.cfg.Headers, Connections: n.cfg.Connections, Dispatch: n.dispatchClient,
		Table: n.view.table.Load, Registry: n.view.registry.Load, Notices: n.notices, Permits: n.permits, Rollouts: n.view.rollouts, Quarantine: gateway.Quarantine{Keeper: n.view.crashes.keeper, TakeTrial: n.view.shared.takeTrial, PassTrial: n.view.shared.passTrial, ReportsRead: n.crashesKnown}, CrashedRun: crashes.CrashedRun, RetryBudget: s.RetryBudget, ColdLimit: s.ColdLimit,
		Log: n.cfg.Log, Meter: n.meter, Now: n.cfg.Now,
	})
}

func (n *Node) listen() error {
	s := n.cfg.Settings
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	listen := func(address string) (net.Listener, error) {
		l, err := config.Listen(context.Background(), "tcp", address)
		return l, merry.Prependf(err, "listen on %s", address)
	}
	peers, err := listen(s.PeerAddress)
	if err != nil {
		return err
	}
	n.peerServer = newPeerServer()
	dispatch.Register(n.peerServer, n.dispatcher)
	permit.Register(n.peerServer, n.keeper)
	snapshot.Register(n.peerServer, n.view)
	if n.rollouts != nil {
		rolloutwire.Register(n.peerServer, n.rollouts)
	}
	peerListener := intake.Limit(n.newGate("nodes", 0, s.MaxFiles/peerShare), peers)
	go n.serve("nodes", func() error { return n.peerServer.Serve(peerListener) })
	callers, err := listen(s.CallerAddress)
	if err != nil {
		return err
	}
	// Uses the standard server without a library's router, because request targets must be forwarded unchanged.
	n.callerServer = &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: gateway.ConnContext}
	n.callerListener = transport.NewListener(callers, n.callerServer, n.cfg.Now)
	bounded := intake.Serve(n.newGate("callers", s.CallerMemory(), s.CallerConnections()), n.callerServer, n.callerListener)
	go n.serve("callers", func() error { return n.callerServer.Serve(bounded) })
	readyRoutes := []rest.Route{{Method: http.MethodGet, Path: n.cfg.ReadyPath, Handler: n.serveReady}}
	if err := n.serveInternal(listen, "ready", s.ReadyAddress, readyRoutes); err != nil {
		return err
	}
	metricsRoutes := []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: n.meter.Handler().ServeHTTP}}
	return n.serveInternal(listen, "metrics", s.MetricsAddress, metricsRoutes)
}

// serveInternal serves an internal HTTP interface: readiness or metrics.
func (n *Node) serveInternal(listen func(string) (net.Listener, error), name, address string, routes []rest.Route) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	h, err := transport.NewHandler(name, routes)
	if err != nil {
		return err
	}
	server := transport.NewServer(h)
	n.internalServers = append(n.internalServers, server)
	s := n.cfg.Settings
	bounded := intake.Serve(n.newGate(name, s.MemoryBytes/internalShare, s.MaxFiles/internalShare), server, l)
	go n.serve(name, func() error { return server.Serve(bounded) })
	return nil
}

func (n *Node) serve(name string, run func() error) {
	err := run()
	if n.draining.Load() && errors.Is(err, net.ErrClosed) {
		return
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		n.cfg.Log.WithError(err).WithField("side", name).Error("node: server failed")
	}
}

// sweepInterval is how long an idle connection to a target that is gone may stay open.
const sweepInterval = 2 * time.Second

// sweepConnections closes idle connections that no request will use any more.
func (n *Node) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r := n.view.registry.Load()
		n.cfg.Connections.Sweep(n.cfg.Now(), func(address string) bool {
			_, ok := r.AtAddress(address)
			return ok
		})
	}
}

// serveReady responds to the load balancer's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() || !n.view.isListed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitCrashes closes crashesKnown.
func (n *Node) awaitCrashes(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.view.nodesListed:
	case <-time.After(crashWait):
		n.cfg.Log.Warn("node: reports of crashes have not been read yet")
	}
	close(n.crashesKnown)
}

// bootstrap reads from other nodes the lists that the store does not return, until the node has a configuration,
// targets and the operators' orders.
func (n *Node) bootstrap(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapDelay):
		}
		if n.view.isListed() {
			return
		}
		if lists := n.readPeers(ctx); len(lists) > 0 {
			n.view.loadLists(lists)
		}
	}
}

// readPeers reads the lists of the nodes that the settings name, and returns the newest list of each kind. A node that has been
// cut off for long may have lists with targets that have left and keys that were withdrawn.
func (n *Node) readPeers(ctx context.Context) map[string]object.List {
	answers := make(chan map[string]object.List, len(n.cfg.Settings.Seeds))
	asked := 0
	for _, address := range n.cfg.Settings.Seeds {
		if address == n.cfg.Settings.PeerAddress {
			continue
		}
		asked++
		go func() {
			lists, err := snapshot.Read(ctx, address)
			if err != nil {
				n.cfg.Log.WithError(err).WithField("from", address).Info("node: reading lists from another node failed")
			}
			answers <- lists
		}()
	}
	lists := map[string]object.List{}
	var enough <-chan time.Time
	for range asked {
		select {
		case answer := <-answers:
			mergeNewest(lists, answer)
			if len(lists) > 0 && enough == nil {
				enough = time.After(peerWait)
			}
		case <-enough:
			return lists
		case <-ctx.Done():
			return nil
		}
	}
	return lists
}

// mergeNewest replaces the lists that are older than another node's.
func mergeNewest(lists, other map[string]object.List) {
	for kind, l := range other {
		if known, ok := lists[kind]; !ok || known.Version < l.Version {
			lists[kind] = l
		}
	}
}

// register writes the node's entry, and again whenever the store has lost it.
func (n *Node) register(ctx context.Context) {
	s := n.cfg.Settings
	self := registry.Node{Name: s.Name, Address: s.PeerAddress, Datacentre: s.Datacentre, StartedAt: n.view.startedAt, LinkMbps: s.LinkMbps}
	for purpose := object.PurposeStart; ctx.Err() == nil; purpose = object.PurposeRestore {
		n.writeEntry(object.WithPurpose(ctx, purpose), self)
		// Another writer of the entry may not stop.
		pause(ctx, registerRetry)
		select {
		case <-ctx.Done():
		case <-n.view.entryLost:
			n.cfg.Log.Warn("node: the store has lost the node's entry, writing it again")
		}
	}
}

// writeEntry writes the node's entry, replacing that of an earlier run.
func (n *Node) writeEntry(ctx context.Context, self registry.Node) {
	s := n.cfg.Settings
	version := n.view.nodeEntryVersion(ctx, s.Name)
	for ctx.Err() == nil {
		o, err := n.cfg.Store.Put(ctx, n.cfg.Platform.NodeKind, s.Name, version, n.cfg.Platform.NodeEntry(self))
		var conflict *object.ConflictError
		switch {
		case err == nil:
			n.view.ownEntry.Store(&ownEntry{version: o.Version, startedAt: self.StartedAt})
			return
		case errors.As(err, &conflict):
			version = conflict.Current.Version
			continue
		case errors.Is(err, object.ErrNotFound):
			version = 0
			continue
		}
		n.cfg.Log.WithError(err).Warn("node: writing the node's entry failed")
		ctx = object.WithPurpose(ctx, object.PurposeRetry)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

// deregister removes the node's entry, so that no other node sends work to its dispatcher.
func (n *Node) deregister() {
	own := n.view.ownEntry.Swap(nil)
	if own == nil {
		return
	}
	ctx, cancel := context.WithTimeout(object.WithPurpose(context.Background(), object.PurposeStop), deregisterTimeout)
	defer cancel()
	kind, name := n.cfg.Platform.NodeKind, n.cfg.Settings.Name
	err := n.cfg.Store.Delete(ctx, kind, name, own.version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		// The store has come back from an older copy since, and has this entry or that of an earlier run at another version.
		if current, parseErr := n.cfg.Platform.ParseNode(conflict.Current); parseErr == nil && current.StartedAt <= own.startedAt {
			err = n.cfg.Store.Delete(ctx, kind, name, conflict.Current.Version)
		}
	}
	if err != nil {
		n.cfg.Log.WithError(err).Warn("node: removing the node's entry failed")
	}
}

func (n *Node) prune(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pruneInterval):
			n.gateway.PruneTargets(n.cfg.Now())
			n.notices.DropExpired(n.cfg.Now())
			n.view.crashes.prune(ctx, n.cfg.Now())
		}
	}
}

// Kill stops the node abruptly, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	_ = n.callerServer.Close()
	n.peerServer.Stop()
	n.dispatchClient.Close()
	n.permits.Close()
	if n.rollouts != nil {
		n.rollouts.Close()
	}
	for _, s := range n.internalServers {
		_ = s.Close()
	}
	_ = n.meter.Close()
}
