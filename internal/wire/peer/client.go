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
	// MaxMessage bounds one message between nodes, in bytes.
	MaxMessage = 64 << 20
	// HeartbeatInterval is how often an owner says that it still works on an attempt.
	HeartbeatInterval = 400 * time.Millisecond
	// HeartbeatTimeout is how long an owner may say nothing.
	HeartbeatTimeout = 1500 * time.Millisecond

	minReconnect = 50 * time.Millisecond
	maxReconnect = time.Second
)

// ConnPool keeps one connection to each peer address.
type ConnPool struct {
	tls   *tls.Config
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	sent  *sentHandler
	cut   bool
}

// SetPartitioned makes every call fail, or lets calls through again; it serves tests of a node that is cut off.
func (c *ConnPool) SetPartitioned(cut bool) {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// NewConnPool makes an empty set; config is nil for plain TCP.
func NewConnPool(config *tls.Config) *ConnPool {
	return &ConnPool{tls: config, conns: map[string]*grpc.ClientConn{}, sent: &sentHandler{}}
}

var errCut = errors.New("peers are cut off")

// Client gives the client for an address; it connects with the first call.
func (c *ConnPool) Client(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return nil, errCut
	}
	conn, ok := c.conns[address]
	if !ok {
		fresh, err := c.dial(address)
		if err != nil {
			return nil, err
		}
		c.conns[address] = fresh
		conn = fresh
	}
	return peerpb.NewPeerClient(conn), nil
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
			Backoff:           backoff.Config{BaseDelay: minReconnect, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnect},
			MinConnectTimeout: time.Second,
		}),
	)
}

// Discard leaves the connection to an address, after a call on it stayed without a word.
func (c *ConnPool) Discard(address string) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if ok {
		// Calls that still run on it may be alive; they get a moment to end.
		time.AfterFunc(10*time.Second, func() { _ = conn.Close() })
	}
}

// Close closes every connection.
func (c *ConnPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, a)
	}
}

// Work runs an attempt at a node; sent tells whether the call got onto a connection.
func (c *ConnPool) Work(ctx context.Context, address string, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) (sent bool, err error) {
	client, err := c.Client(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	flag := &atomic.Bool{}
	ctx = context.WithValue(ctx, sentKey{}, flag)
	silent := &atomic.Bool{}
	watch := time.AfterFunc(HeartbeatTimeout, func() {
		silent.Store(true)
		cancel()
	})
	defer watch.Stop()
	err = stream(ctx, client, w, func(e *peerpb.WorkEvent) error {
		watch.Reset(HeartbeatTimeout)
		return on(e)
	})
	if silent.Load() {
		c.Discard(address)
	}
	return flag.Load(), err
}

func stream(ctx context.Context, client peerpb.PeerClient, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) error {
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
		if err := on(e); err != nil {
			return err
		}
	}
}

type sentKey struct{}

// sentHandler notes on a call's context whether its header was written to a connection.
type sentHandler struct{}

func (*sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (*sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if flag, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		flag.Store(true)
	}
}

func (*sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (*sentHandler) HandleConn(context.Context, stats.ConnStats) {}
