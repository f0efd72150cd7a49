package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// callerConn is the connection of a caller, and how many requests have come on it.
type callerConn struct {
	net.Conn
	requests atomic.Int64
}

type connKey struct{}

// ConnContext makes a caller's connection known to the gateway; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: c})
}

// countRequest counts a request on its connection, and reports whether an earlier one had come on it.
func countRequest(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && c.requests.Add(1) > 1
}

// abort ends a response so that it does not look complete. An HTTP/1.0 caller gets no chunks, so its connection is reset.
func abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && !r.ProtoAtLeast(1, 1) {
		conn := c.Conn
		if bounded, ok := conn.(interface{ NetConn() net.Conn }); ok {
			conn = bounded.NetConn()
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}
