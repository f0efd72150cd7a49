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
	conns map[string]*grpc.ClientConn
}

// NewNodes returns Nodes without connections.
func NewNodes() *Nodes { return &Nodes{conns: map[string]*grpc.ClientConn{}} }

// Conn returns the connection to the node at an address, which connects on the first call.
func (n *Nodes) Conn(address string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn, ok := n.conns[address]; ok {
		return conn, nil
	}
	conn, err := DialNode(address, grpc.WithConnectParams(grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
		MinConnectTimeout: minConnectTimeout,
	}))
	if err != nil {
		return nil, err
	}
	n.conns[address] = conn
	return conn, nil
}

// Discard closes the connection to a lost node a little later, so that the next call opens a new one.
func (n *Nodes) Discard(address string) {
	n.mu.Lock()
	conn := n.conns[address]
	delete(n.conns, address)
	n.mu.Unlock()
	if conn != nil {
		time.AfterFunc(closeDelay, func() { _ = conn.Close() })
	}
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
