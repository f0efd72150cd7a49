package gatewaynode

import (
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/intake"
)

const (
	// readTime is how long a request may take to arrive, and a connection may say nothing, while others need its place; stallTime is the
	// same for a response that is not read. Ordinary requests arrive in milliseconds, and callers on slow links notice this only while
	// the node is short of memory or connections.
	readTime  = 2 * time.Second
	stallTime = 2 * time.Second
	// roomWait is how long a request waits for memory before it is rejected: longer than readTime, so that what others hold is closed first.
	roomWait = 3 * time.Second
	// internalShare is the part of the descriptors and the memory that the readiness and metrics ports may use each, peerShare that of the
	// descriptors for connections of other nodes.
	internalShare = 32
	peerShare     = 4
	// peerHeaderBytes bounds the header of a call from another node; nodes send a few hundred bytes. The default of gRPC is 16 MB.
	peerHeaderBytes = 16 << 10
	// peerHandshakeTime bounds the handshake of a connection from another node.
	peerHandshakeTime = 10 * time.Second
)

// newGate returns the gate of one of the node's ports.
func (n *Node) newGate(port string, bytes int64, connections int) *intake.Gate {
	return intake.NewGate(intake.Config{
		Port: port, Log: n.cfg.Log, Meter: n.meter, Now: n.cfg.Now,
		Limits: intake.Limits{Bytes: bytes, Connections: connections, ReadTime: readTime, StallTime: stallTime, Wait: roomWait},
	})
}

// newPeerServer returns the server for other nodes.
func newPeerServer() *grpc.Server {
	return grpc.NewServer(grpc.MaxHeaderListSize(peerHeaderBytes), grpc.ConnectionTimeout(peerHandshakeTime))
}
