package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const (
	// MaxMessage is the maximum size of a message between nodes, in bytes.
	MaxMessage = 64 << 20
	// HeartbeatInterval is how often an owner that works on an attempt sends a heartbeat.
	HeartbeatInterval = 400 * time.Millisecond
	// HeartbeatTimeout is the time without a message after which an owner counts as unresponsive.
	HeartbeatTimeout = 1500 * time.Millisecond

	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

// ConnPool keeps one connection to each peer address.
type ConnPool struct {
	tls         *tls.Config
	mu          sync.Mutex
	conns       map[string]*grpc.ClientConn
	sent        *sentHandler
	partitioned bool
}

// SetPartitioned makes every call fail, or lets calls through again; tests use it to partition a node from its peers.
func (c *ConnPool) SetPartitioned(partitioned bool) {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// NewConnPool returns an empty pool; config is nil for plain TCP.
func NewConnPool(config *tls.Config) *ConnPool {
	return &ConnPool{tls: config, conns: map[string]*grpc.ClientConn{}, sent: &sentHandler{}}
}

var errPartitioned = errors.New("node is partitioned from its peers")

// Client calls a peer over one connection.
type Client struct {
	peerpb.PeerClient
	address string
	conn    *grpc.ClientConn
}

// Client returns the client for an address; it connects on the first call.
func (c *ConnPool) Client(address string) (Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned {
		return Client{}, errPartitioned
	}
	conn, ok := c.conns[address]
	if !ok {
		dialed, err := c.dial(address)
		if err != nil {
			return Client{}, err
		}
		c.conns[address] = dialed
		conn = dialed
	}
	return Client{PeerClient: peerpb.NewPeerClient(conn), address: address, conn: conn}, nil
}

func (c *ConnPool) dial(address string) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if c.tls != nil {
		creds = credentials.NewTLS(c.tls)
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithStatsHandler(c.sent),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
	)
}

// Discard stops using the connection of a client, after a call on it became unresponsive. A connection that has replaced it meanwhile
// stays in use.
func (c *ConnPool) Discard(client Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[client.address] == client.conn {
		c.remove(client.address)
	}
}

// Remove stops using the connection to an address.
func (c *ConnPool) Remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(address)
}

// remove requires the lock.
func (c *ConnPool) remove(address string) {
	conn, ok := c.conns[address]
	if !ok {
		return
	}
	delete(c.conns, address)
	// Other calls on the connection may still work; they get 10 seconds to finish.
	time.AfterFunc(10*time.Second, func() { _ = conn.Close() })
}

// Close closes all connections.
func (c *ConnPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, a)
	}
}

// Work runs an attempt on a node; sent reports whether the call was written to a connection.
func (c *ConnPool) Work(ctx context.Context, address string, w *peerpb.WorkRequest, onEvent func(*peerpb.WorkEvent) error) (sent bool, err error) {
	client, err := c.Client(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentFlag := &atomic.Bool{}
	ctx = context.WithValue(ctx, sentKey{}, sentFlag)
	unresponsive := &atomic.Bool{}
	quiet := newSilence(time.Now())
	go quiet.watch(ctx, func() {
		unresponsive.Store(true)
		cancel()
	})
	err = receiveEvents(ctx, client, w, func(e *peerpb.WorkEvent) error {
		quiet.hear(time.Now())
		return onEvent(e)
	})
	if unresponsive.Load() {
		c.Discard(client)
	}
	return sentFlag.Load(), err
}

func receiveEvents(ctx context.Context, client peerpb.PeerClient, w *peerpb.WorkRequest, onEvent func(*peerpb.WorkEvent) error) error {
	events, err := client.Work(ctx, w)
	if err != nil {
		return err
	}
	for {
		e, err := events.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := onEvent(e); err != nil {
			return err
		}
	}
}

type sentKey struct{}

// sentHandler sets the flag in a call's context once the call's header has been written to a connection.
type sentHandler struct{}

func (*sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (*sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sentFlag, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sentFlag.Store(true)
	}
}

func (*sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (*sentHandler) HandleConn(context.Context, stats.ConnStats) {}
