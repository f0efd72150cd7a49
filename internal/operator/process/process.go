package process

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/node"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/auth"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const (
	watchIdleTimeout = 3 * time.Second
	auditRecordsKept = 10000
	auditPruneSlack  = 500
)

// Config holds the settings and dependencies of a Process.
type Config struct {
	Settings settings.Settings
	Log      *logrus.Logger
	Seed     uint64
	// Platform replaces the client that the settings name; it may be nil.
	Platform node.Platform
	// PeerListener replaces the listener for peers; it may be nil.
	PeerListener net.Listener
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener *transport.Listener
}

// Process is a node with its servers.
type Process struct {
	cfg              Config
	node             *node.Node
	servers          []server
	callerListener   net.Listener
	operatorListener net.Listener
	// closing ends the waits of callers that wait for what other nodes do.
	closing    context.Context
	endWaiting context.CancelFunc
}

// httpPlatform accesses the platform over HTTP.
type httpPlatform struct{ *object.Client }

// VMs reads the list of live and leaving VMs.
func (p httpPlatform) VMs(ctx context.Context) (vm.List, error) {
	var l vm.List
	era, err := p.Client.VMs(ctx, &l)
	// The number of the list goes back with an older copy of the platform.
	l.Revision = uint64(object.NewVersion(era, l.Revision))
	return l, err
}

// NewHTTPPlatform returns a client of the platform that the settings name.
func NewHTTPPlatform(s settings.Platform) node.Platform {
	return httpPlatform{object.NewClient(object.ClientConfig{URL: s.URL, Timeout: s.Timeout.Duration(), WatchIdleTimeout: watchIdleTimeout})}
}

// Start opens all listeners and starts the node.
func Start(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg}
	p.closing, p.endWaiting = context.WithCancel(context.Background())
	if cfg.Platform == nil {
		p.cfg.Platform = NewHTTPPlatform(cfg.Settings.Platform)
	}
	if err := p.listen(); err != nil {
		return nil, merry.Prepend(err, "start")
	}
	if err := p.build(); err != nil {
		return nil, merry.Prepend(err, "start")
	}
	p.node.Start()
	return p, nil
}

func (p *Process) listen() error {
	s := p.cfg.Settings
	var err error
	if p.callerListener, err = listenTLS(s.Caller.Address, s.Caller.TLS, p.cfg.Log); err != nil {
		return merry.Prepend(err, "listen for callers")
	}
	if s.Operator.Address == "" {
		return nil
	}
	p.operatorListener, err = listenTLS(s.Operator.Address, s.Operator.TLS, p.cfg.Log)
	return merry.Prepend(err, "listen for operators")
}

func listenTLS(address string, t settings.TLS, log *logrus.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || !t.Enabled() {
		return l, err
	}
	config, err := transport.ServerTLS(t, time.Now, log)
	if err != nil {
		return nil, err
	}
	// gRPC sets its own protocol; the HTTP interfaces use HTTP/1.1.
	config.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, config), nil
}

func (p *Process) build() error {
	s := p.cfg.Settings
	s.Caller.Address = p.callerListener.Addr().String()
	cfg := node.Config{Settings: s, Platform: p.cfg.Platform, Log: p.cfg.Log, Now: time.Now, Seed: p.cfg.Seed, Listener: p.cfg.PeerListener}
	var err error
	if s.Peer.TLS.Enabled() {
		if cfg.ServerTLS, err = transport.ServerTLS(s.Peer.TLS, time.Now, p.cfg.Log); err != nil {
			return err
		}
		if cfg.ClientTLS, err = transport.ClientTLS(s.Peer.TLS, time.Now, p.cfg.Log); err != nil {
			return err
		}
	}
	if p.node, err = node.New(cfg); err != nil {
		return err
	}
	h, err := callerapi.NewHandler(callerapi.Config{Node: p.node, MaxBodyBytes: int64(s.Caller.MaxBody), Closing: p.closing, Now: time.Now, Log: p.cfg.Log})
	if err != nil {
		return err
	}
	p.serve(h, p.callerListener)
	if p.operatorListener == nil {
		return nil
	}
	h, err = operatorapi.NewHandler(p.operatorConfig())
	if err != nil {
		return err
	}
	p.serve(h, p.operatorListener)
	return nil
}

func (p *Process) operatorConfig() operatorapi.Config {
	editor := NewEditor(p.cfg.Platform)
	return operatorapi.Config{
		Node:          p.node,
		Authenticator: auth.NewAuthenticator(p.cfg.Settings.Operator.Tokens),
		Editor:        editor,
		Publisher:     publication.Publisher{Editor: editor, HighestNumber: p.node.HighestRelease},
	}
}

// NewEditor returns an editor of a platform's objects.
func NewEditor(store object.Store) edit.Editor {
	return edit.Editor{
		Store: store,
		Trail: audit.Trail{Store: store, Keep: auditRecordsKept, PruneSlack: auditPruneSlack},
		Now:   time.Now,
		NewID: newID,
	}
}

func newID() string {
	b := make([]byte, 8)
	if _, err := rand.Read(b); err != nil {
		panic("process: no random bytes: " + err.Error())
	}
	return hex.EncodeToString(b)
}

func (p *Process) serve(h http.Handler, l net.Listener) {
	s := transport.NewServer(h)
	listener := transport.NewListener(l, s, time.Now)
	p.servers = append(p.servers, server{http: s, listener: listener})
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			p.cfg.Log.WithError(err).Error("process: server failed")
		}
	}()
}

// Node returns the process's node.
func (p *Process) Node() *node.Node { return p.node }

// CallerAddress returns the address of the interface for callers.
func (p *Process) CallerAddress() string { return p.callerListener.Addr().String() }

// OperatorAddress returns the address of the interface for operators, "" if there is none.
func (p *Process) OperatorAddress() string {
	if p.operatorListener == nil {
		return ""
	}
	return p.operatorListener.Addr().String()
}

// Stop drains and stops the process within its grace period: requests that end in time finish unless ctx ends. Streams that callers
// read here, but whose coordinator is another node, finish before the node leaves its peers.
func (p *Process) Stop(ctx context.Context) {
	t := p.cfg.Settings.Timing
	plan := shutdown.NewPlan(time.Now(), t.Grace.Duration(), t.BalancerLag.Duration())
	open, closeAll := context.WithDeadline(ctx, plan.ClosesAt())
	defer closeAll()
	for _, s := range p.servers {
		s.listener.EndKeepAlives()
	}
	waits := time.AfterFunc(time.Until(plan.EndsAt), p.endWaiting)
	defer waits.Stop()
	p.node.Drain(open, plan)
	for _, s := range p.servers {
		conns := s.listener.Connections()
		p.cfg.Log.WithFields(logrus.Fields{"address": s.listener.Addr().String(), "new": conns.New, "active": conns.Active}).Info("process: no longer listens")
		if err := s.listener.Drain(open); err != nil {
			p.cfg.Log.WithError(err).Warn("process: requests were still running at the end of the grace period")
		}
		_ = s.http.Close()
	}
	// Requests of callers that left may have come after the node was idle.
	p.node.AwaitIdle(open)
	leave, cancel := context.WithDeadline(ctx, plan.LeavesBy())
	defer cancel()
	p.node.Leave(leave)
	p.cfg.Log.WithField("ms", time.Since(plan.BeganAt).Milliseconds()).Info("process: stopped")
}

// Kill stops the process abruptly, as a crash would.
func (p *Process) Kill() {
	p.endWaiting()
	for _, s := range p.servers {
		_ = s.http.Close()
	}
	p.node.Kill()
}
