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
	pingAfter = 5 * time.Second
	pingWait  = 2 * time.Second
)

// Server serves a node's peers.
type Server struct {
	grpc *grpc.Server
}

// NewServer makes a server for api; config is nil for plain TCP.
func NewServer(api peerpb.PeerServer, config *tls.Config) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingWait}),
	}
	if config != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(config)))
	}
	s := &Server{grpc: grpc.NewServer(opts...)}
	peerpb.RegisterPeerServer(s.grpc, api)
	return s
}

// Serve answers calls on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes every connection at once; the node has let its work end before.
func (s *Server) Stop() { s.grpc.Stop() }
