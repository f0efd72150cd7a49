package connection

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// nodeDialTimeout bounds a new connection between nodes: several round trips inside a region.
const nodeDialTimeout = 500 * time.Millisecond

// maxNodeHeadBytes bounds the header and the trailer of an answer of another node.
const maxNodeHeadBytes = 16 << 10

// DialNode returns a connection to another node that detects an unresponsive peer; it connects on the first call.
func DialNode(address string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	dialer := NewDialer(nodeDialTimeout)
	conn, err := grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithMaxHeaderListSize(maxNodeHeadBytes),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }),
	}, options...)...)
	return conn, merry.Prependf(err, "connect to node %s", address)
}
