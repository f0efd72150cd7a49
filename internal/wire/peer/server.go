package peer

import (
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const (
	keepaliveTime    = 5 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Server serves the calls of a node's peers.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server for api; config is nil for plain TCP.
func NewServer(api peerpb.PeerServer, config *tls.Config) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if config != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(config)))
	}
	s := &Server{grpc: grpc.NewServer(opts...)}
	peerpb.RegisterPeerServer(s.grpc, api)
	return s
}

// Serve serves calls on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes all connections at once; the node must have finished its work before.
func (s *Server) Stop() { s.grpc.Stop() }
