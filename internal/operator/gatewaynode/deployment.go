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

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/gateway"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const (
	// rotation is how long the balancer may go on sending connections to a node that is not ready: two questions
	// a second apart, and the way.
	rotation = 2500 * time.Millisecond
	// lastMoment is kept from the grace period to close what still runs and to write the log.
	lastMoment = 300 * time.Millisecond
	// joinRetry is how long to wait before the node's entry is written again.
	joinRetry = time.Second
	// leaveTimeout bounds the removal of the node's entry.
	leaveTimeout = time.Second
	// askAfter is how long the store may take to give the first lists before other nodes are asked for theirs.
	askAfter = 400 * time.Millisecond
	// pruneEvery is how often state of targets that are gone is dropped.
	pruneEvery = time.Minute
	// callerProbe and its count bound how long a caller's silent connection is kept.
	callerProbe  = 2 * time.Second
	callerProbes = 3
	// headerWait, idleWait and maxHeader bound what callers may send before the configuration is known to; they
	// lie above what operators set.
	headerWait = 20 * time.Second
	idleWait   = 3 * time.Minute
	maxHeader  = 256 << 10
)

// Config is what a node is made of.
type Config struct {
	Settings settings.Gateway
	Platform Adapter
	// ReadyPath is where the balancer asks whether the node takes connections.
	ReadyPath   string
	Store       object.Store
	Dialect     gateway.HeaderCodec
	StageClient dispatch.TargetClient
	Links       *connection.Pool
	Log         logrus.FieldLogger
	Now         func() time.Time
}

// Node is one process on the users' platform.
type Node struct {
	cfg     Config
	picture *picture
	meter   *metrics.Meter
	desk    *dispatch.Dispatcher
	desks   *dispatch.Client
	gateway *gateway.Gateway
	grpc    *grpc.Server
	front   *http.Server
	side    []*http.Server
	leaving atomic.Bool
	cancel  context.CancelFunc
	entry   chan object.Object
}

// Start listens and follows the store.
func Start(cfg Config) (*Node, error) {
	cfg.Log = cfg.Log.WithField("node", cfg.Settings.Name)
	m := metrics.New()
	n := &Node{cfg: cfg, picture: newPicture(cfg, m), meter: m, entry: make(chan object.Object, 1)}
	n.build()
	if err := n.listen(); err != nil {
		return nil, merry.Prepend(err, "start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for kind, k := range n.picture.kinds() {
		go n.picture.follow(ctx, kind, k)
	}
	go n.join(ctx)
	go n.prune(ctx)
	go n.catchUp(ctx)
	go n.picture.relayed(ctx)
	cfg.Log.WithFields(logrus.Fields{"datacentre": cfg.Settings.Datacentre, "address": cfg.Settings.CallerAddress}).Info("node: started")
	return n, nil
}

func (n *Node) build() {
	s := n.cfg.Settings
	n.desk = dispatch.New(dispatch.Config{
		Targets: n.cfg.StageClient, Table: n.picture.table.Load, Ready: n.picture.ready, Roster: n.picture.roster.Load, Log: n.cfg.Log, Meter: n.meter, Now: n.cfg.Now,
		AllowRetry:      func(now time.Time, service string) bool { return n.gateway.AllowRetry(now, service) },
		RecordFirstSend: func(now time.Time, service string) { n.gateway.RecordFirstSend(now, service) },
	})
	n.picture.changed = n.desk.Refresh
	n.desks = dispatch.NewClient(dispatch.ClientConfig{Self: s.Name, Local: n.desk, Roster: n.picture.roster.Load, Log: n.cfg.Log, Now: n.cfg.Now})
	n.gateway = gateway.New(gateway.Config{
		Self: s.Name, Datacentre: s.Datacentre, Headers: n.cfg.Dialect, Connections: n.cfg.Links, Dispatch: n.desks,
		Table: n.picture.table.Load, Roster: n.picture.roster.Load, RetryBudget: s.RetryBudget, ColdLimit: s.ColdLimit,
		Log: n.cfg.Log, Meter: n.meter, Now: n.cfg.Now,
	})
}

func (n *Node) listen() error {
	s := n.cfg.Settings
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerProbe, Interval: callerProbe, Count: callerProbes}}
	listen := func(address string) (net.Listener, error) {
		l, err := config.Listen(context.Background(), "tcp", address)
		return l, merry.Prependf(err, "listen on %s", address)
	}
	peers, err := listen(s.PeerAddress)
	if err != nil {
		return err
	}
	n.grpc = grpc.NewServer()
	dispatch.Register(n.grpc, n.desk)
	snapshot.Register(n.grpc, n.picture)
	go n.serve("nodes", func() error { return n.grpc.Serve(peers) })
	callers, err := listen(s.CallerAddress)
	if err != nil {
		return err
	}
	// The standard server and no router of a library: request targets must be passed on as they came.
	n.front = &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeader}
	go n.serve("callers", func() error { return n.front.Serve(callers) })
	ready := []rest.Route{{Method: http.MethodGet, Path: n.cfg.ReadyPath, Handler: n.ready}}
	if err := n.serveSide(listen, "ready", s.ReadyAddress, ready); err != nil {
		return err
	}
	metrics := []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: n.meter.Handler().ServeHTTP}}
	return n.serveSide(listen, "metrics", s.MetricsAddress, metrics)
}

// serveSide serves one of the small interfaces beside the callers'.
func (n *Node) serveSide(listen func(string) (net.Listener, error), name, address string, routes []rest.Route) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	h, err := transport.NewHandler(name, routes)
	if err != nil {
		return err
	}
	server := transport.NewServer(h)
	n.side = append(n.side, server)
	go n.serve(name, func() error { return server.Serve(l) })
	return nil
}

func (n *Node) serve(name string, run func() error) {
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		n.cfg.Log.WithError(err).WithField("side", name).Error("node: server ended")
	}
}

// ready says whether the node takes new connections.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || n.picture.table.Load() == nil || !n.picture.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// catchUp asks other nodes for what the store does not give, until the node has a configuration and targets.
func (n *Node) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askAfter):
		}
		if n.picture.table.Load() != nil && n.picture.listed.Load() {
			return
		}
		for _, address := range n.cfg.Settings.Seeds {
			if address == n.cfg.Settings.PeerAddress {
				continue
			}
			lists, err := snapshot.Read(ctx, address)
			if err != nil {
				n.cfg.Log.WithError(err).WithField("from", address).Info("node: other node gave no lists")
				continue
			}
			if len(lists) > 0 {
				n.picture.adopt(address, lists)
				break
			}
		}
	}
}

// join writes the node's entry, over that of an earlier run.
func (n *Node) join(ctx context.Context) {
	s := n.cfg.Settings
	self := registry.Node{Name: s.Name, Address: s.PeerAddress, Datacentre: s.Datacentre, StartedAt: n.cfg.Now().UnixMilli(), LinkMbps: s.LinkMbps}
	version := uint64(0)
	for ctx.Err() == nil {
		o, err := n.cfg.Store.Put(ctx, n.cfg.Platform.NodeKind, s.Name, version, n.cfg.Platform.NodeEntry(self))
		var conflict *object.ConflictError
		switch {
		case err == nil:
			n.entry <- o
			return
		case errors.As(err, &conflict):
			version = conflict.Current.Version
			continue
		case errors.Is(err, object.ErrNotFound):
			version = 0
			continue
		}
		n.cfg.Log.WithError(err).Warn("node: entry was not written")
		select {
		case <-ctx.Done():
		case <-time.After(joinRetry):
		}
	}
}

// leave removes the node's entry, so that no other node asks its desk.
func (n *Node) leave() {
	select {
	case o := <-n.entry:
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		if err := n.cfg.Store.Delete(ctx, o.Kind, o.Name, o.Version); err != nil {
			n.cfg.Log.WithError(err).Warn("node: entry was not removed")
		}
	default:
	}
}

func (n *Node) prune(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pruneEvery):
			n.gateway.PruneTargets(n.cfg.Now())
		}
	}
}

// Stop is a planned stop: the node turns not ready, serves on until the balancer has left it, and lets what runs end
// within the grace period.
func (n *Node) Stop() {
	started := n.cfg.Now()
	grace := n.cfg.Settings.GracePeriod - lastMoment
	n.cfg.Log.WithField("grace_ms", grace.Milliseconds()).Info("node: stopping")
	n.leaving.Store(true)
	n.gateway.Drain(started, grace)
	n.front.SetKeepAlivesEnabled(false)
	n.desk.Drain()
	go n.leave()
	n.picture.hub.Close()
	time.Sleep(min(rotation, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), grace-n.cfg.Now().Sub(started))
	defer cancel()
	if err := n.front.Shutdown(ctx); err != nil {
		n.cfg.Log.WithError(err).Warn("node: requests were still running at the end of the grace period")
		_ = n.front.Close()
	}
	n.Kill()
	n.cfg.Log.WithField("ms", n.cfg.Now().Sub(started).Milliseconds()).Info("node: stopped")
}

// Kill ends the node as a crash would.
func (n *Node) Kill() {
	n.cancel()
	_ = n.front.Close()
	n.grpc.Stop()
	n.desks.Close()
	for _, s := range n.side {
		_ = s.Close()
	}
	_ = n.meter.Close()
}
