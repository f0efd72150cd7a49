package connection

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

const (
	minConnectTimeout = 500 * time.Millisecond
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// closeDelay is how long calls still running on the connection of a lost node may take to end.
	closeDelay = 2 * time.Second
)

// Nodes holds the connections to other nodes by address.
type Nodes struct {
	mu    sync.Mutex
	conns map[string]nodeConn
}

type nodeConn struct {
	*grpc.ClientConn
	openedAt time.Time
}

// NewNodes returns Nodes without connections.
func NewNodes() *Nodes { return &Nodes{conns: map[string]nodeConn{}} }

// Conn returns the connection at now to the node at an address, which connects on the first call.
func (n *Nodes) Conn(now time.Time, address string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn, ok := n.conns[address]; ok {
		return conn.ClientConn, nil
	}
	conn, err := DialNode(address, grpc.WithConnectParams(grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
		MinConnectTimeout: minConnectTimeout,
	}))
	if err != nil {
		return nil, err
	}
	n.conns[address] = nodeConn{ClientConn: conn, openedAt: now}
	return conn, nil
}

// Discard closes the connection to a lost node a little later, so that the next call opens a new one. A connection that was opened after
// the call that has failed was sent is another one, and stays: each call that fails with the former one would close it again.
func (n *Nodes) Discard(sentAt time.Time, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn, ok := n.conns[address]
	if !ok || conn.openedAt.After(sentAt) {
		return
	}
	delete(n.conns, address)
	time.AfterFunc(closeDelay, func() { _ = conn.Close() })
}

// Close closes all connections.
func (n *Nodes) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, conn := range n.conns {
		_ = conn.Close()
		delete(n.conns, address)
	}
}
