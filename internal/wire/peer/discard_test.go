package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// silentPeer takes Work calls and never answers.
type silentPeer struct {
	peerpb.UnimplementedPeerServer
}

func (silentPeer) Work(_ *peerpb.WorkRequest, out peerpb.Peer_WorkServer) error {
	<-out.Context().Done()
	return out.Context().Err()
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// TestSilentConnectionIsReplacedOnce has many calls find one connection silent, one after another: the first replaces it, and the
// others leave the new one in use.
func TestSilentConnectionIsReplacedOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: ln}
	server := NewServer(silentPeer{}, nil)
	go func() { _ = server.Serve(counted) }()
	t.Cleanup(server.Stop)
	pool := NewConnPool(nil)
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	begin := func() {
		calls.Go(func() {
			_, _ = pool.Work(ctx, ln.Addr().String(), &peerpb.WorkRequest{Request: "r"}, func(*peerpb.WorkEvent) error { return nil })
		})
	}
	const spacing = 50 * time.Millisecond
	// Calls that begin before the first has waited for too long share its connection, the others are not silent for long enough.
	for began := time.Now(); time.Since(began) < HeartbeatTimeout*5/3; time.Sleep(spacing) {
		begin()
	}
	cancel()
	calls.Wait()
	if got := counted.accepted.Load(); got != 2 {
		t.Errorf("got %d connections, want the silent one and one that replaced it", got)
	}
}
