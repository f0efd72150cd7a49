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
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const (
	watchSilence = 3 * time.Second
	auditKeep    = 10000
	auditPrune   = 500
)

// Config is what a process is made of.
type Config struct {
	Settings settings.Settings
	Log      *logrus.Logger
	Seed     uint64
	// Platform replaces the client that the settings name; it may be nil.
	Platform node.Platform
	// PeerListener replaces the listener for peers; it may be nil.
	PeerListener net.Listener
}

// Process is a node with its servers.
type Process struct {
	cfg      Config
	node     *node.Node
	servers  []*http.Server
	caller   net.Listener
	operator net.Listener
}

// remote is the platform over HTTP.
type remote struct{ *object.Client }

// VMs reads the list of live and leaving VMs.
func (r remote) VMs(ctx context.Context) (vm.List, error) {
	var l vm.List
	err := r.Client.VMs(ctx, &l)
	return l, err
}

// NewHTTPPlatform is the platform that settings name.
func NewHTTPPlatform(s settings.Platform) node.Platform {
	return remote{object.NewClient(object.ClientConfig{URL: s.URL, Timeout: s.Timeout.Duration(), WatchIdleTimeout: watchSilence})}
}

// Start listens on every side and starts the node.
func Start(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg}
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
	if p.caller, err = listenTLS(s.Caller.Address, s.Caller.TLS, p.cfg.Log); err != nil {
		return merry.Prepend(err, "listen for callers")
	}
	if s.Operator.Address == "" {
		return nil
	}
	p.operator, err = listenTLS(s.Operator.Address, s.Operator.TLS, p.cfg.Log)
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
	// gRPC sets its own protocol; the HTTP sides speak HTTP/1.1.
	config.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, config), nil
}

func (p *Process) build() error {
	s := p.cfg.Settings
	s.Caller.Address = p.caller.Addr().String()
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
	h, err := callerapi.NewHandler(p.node, int64(s.Caller.MaxBody), time.Now)
	if err != nil {
		return err
	}
	p.serve(h, p.caller)
	if p.operator == nil {
		return nil
	}
	h, err = operatorapi.NewHandler(p.operators())
	if err != nil {
		return err
	}
	p.serve(h, p.operator)
	return nil
}

func (p *Process) operators() operatorapi.Config {
	editor := NewEditor(p.cfg.Platform)
	return operatorapi.Config{
		Node:      p.node,
		Guard:     auth.NewAuthenticator(p.cfg.Settings.Operator.Tokens),
		Editor:    editor,
		Publisher: publication.Publisher{Editor: editor, HighestNumber: p.node.HighestRelease},
	}
}

// NewEditor edits the objects of a platform.
func NewEditor(store object.Store) edit.Editor {
	return edit.Editor{
		Store: store,
		Trail: audit.Trail{Store: store, Keep: auditKeep, PruneSlack: auditPrune},
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
	server := transport.NewServer(h)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.cfg.Log.WithError(err).Error("process: server ended")
		}
	}()
}

// Node is the process's node.
func (p *Process) Node() *node.Node { return p.node }

// CallerAddress is the address that callers reach.
func (p *Process) CallerAddress() string { return p.caller.Addr().String() }

// OperatorAddress is the address that operators reach, "" if there is none.
func (p *Process) OperatorAddress() string {
	if p.operator == nil {
		return ""
	}
	return p.operator.Addr().String()
}

// Stop is a planned stop: nothing that runs is cut short, unless ctx ends. Streams that callers follow here
// and that were entered at other nodes are seen to their end before the node leaves its peers.
func (p *Process) Stop(ctx context.Context) {
	p.node.Drain(ctx)
	for _, s := range p.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	p.node.Leave(ctx)
}

// Kill ends the process as a crash would.
func (p *Process) Kill() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.node.Kill()
}
