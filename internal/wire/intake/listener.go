package intake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve bounds a server by a gate and returns the listener with which it has to be served. The handler, ConnState and ConnContext of the
// server have to be set before.
func Serve(g *Gate, s *http.Server, l net.Listener) net.Listener {
	handler, record, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if record != nil {
			record(c, state)
		}
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.beginHead()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.releaseAll()
		if r.ContentLength != 0 {
			c.bodyLeft = r.ContentLength
		} else if !g.setPhase(c, Serving) {
			// It is being closed for others, and its request has not run.
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: l, reject: writeRejection, accept: func(conn net.Conn) (net.Conn, bool) {
		c := &Conn{Conn: conn, gate: g}
		c.inHead.Store(true)
		return c, g.open(c)
	}}
}

// Limit returns a listener that bounds the connections of a server of another protocol: those that are longest silent are closed for others.
func Limit(g *Gate, l net.Listener) net.Listener {
	return &listener{Listener: l, accept: func(conn net.Conn) (net.Conn, bool) {
		c := &opaqueConn{Conn: &Conn{Conn: conn, gate: g, isOpaque: true}}
		return c, g.open(c.Conn)
	}}
}

// touchInterval is the time between two records that a connection is in use.
const touchInterval = 100 * time.Millisecond

// opaqueConn is a connection of which only the times of reads are known.
type opaqueConn struct {
	*Conn
	// touchedAt is when a read was last recorded; only the reader uses it.
	touchedAt time.Time
}

// Read reads and records that the connection is in use.
func (c *opaqueConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Conn.Read(p)
	if now := c.gate.cfg.Now(); n > 0 && now.Sub(c.touchedAt) >= touchInterval {
		c.touchedAt = now
		c.gate.setPhase(c.Conn, Idle)
	}
	return n, err
}

// Write writes without a bound.
func (c *opaqueConn) Write(p []byte) (int, error) { return c.Conn.Conn.Write(p) }

// listener registers the connections that it accepts.
type listener struct {
	net.Listener
	accept func(net.Conn) (net.Conn, bool)
	// reject tells a client that its connection is not accepted; it may be nil.
	reject func(net.Conn)
}

// Accept accepts the next connection for which there is room; others are told to come back and closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.accept(conn); ok {
			return c, nil
		}
		if l.reject != nil {
			l.reject(conn)
		}
		_ = conn.Close()
	}
}
