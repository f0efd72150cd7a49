package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// newConnWait is how long a new connection may take to bring its first request while its server drains.
	newConnWait = time.Second
	// drainInterval is the time between two looks at the connections of a server that drains.
	drainInterval = 5 * time.Millisecond
	// maxPendingWait bounds how long connections that the kernel has taken are waited for, pendingInterval is the time between two
	// looks at their number.
	maxPendingWait  = 100 * time.Millisecond
	pendingInterval = 200 * time.Microsecond
)

// Listener is the listener of one server, which knows the connections that bring a request or wait for a response.
//
// http.Server.Shutdown closes a connection without a response if its request is read after the call began. Drain therefore closes
// the listener first, and shuts the server down once no request is on its way. Idle connections are closed last: a request on
// one of them is answered, and its response ends the connection.
type Listener struct {
	net.Listener
	server *http.Server
	now    func() time.Time
	// closing is set once responses end their connections.
	closing atomic.Bool
	// accepted counts the connections that were accepted.
	accepted atomic.Int64
	// ended is closed once the listener has been closed and the server has taken over all connections; endOnce guards it.
	ended   chan struct{}
	endOnce sync.Once

	mu sync.Mutex
	// opened has the time at which each new connection was accepted, active those with a request.
	opened map[net.Conn]time.Time
	active map[net.Conn]bool
}

// NewListener returns the listener with which a server has to be served, sets the server's ConnState and wraps its handler.
func NewListener(l net.Listener, s *http.Server, now func() time.Time) *Listener {
	t := &Listener{Listener: l, server: s, now: now, ended: make(chan struct{}), opened: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
	s.ConnState = t.record
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dw := &drainWriter{ResponseWriter: w, closing: &t.closing}
		handler.ServeHTTP(dw, r)
		if !dw.isBegun && t.closing.Load() {
			w.Header().Set("Connection", "close")
		}
	})
	return t
}

// drainWriter ends the connection with its response if the server drains when the response begins.
type drainWriter struct {
	http.ResponseWriter
	closing *atomic.Bool
	isBegun bool
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the response.
func (w *drainWriter) WriteHeader(status int) {
	w.isBegun = w.isBegun || status >= http.StatusOK
	if w.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header.
func (w *drainWriter) Write(data []byte) (int, error) {
	if !w.isBegun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Flush sends what has been written.
func (w *drainWriter) Flush() {
	if !w.isBegun {
		w.WriteHeader(http.StatusOK)
	}
	// A caller that is gone needs nothing.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// EndKeepAlives makes each connection end with the response to its next request. Idle connections stay open: their callers may
// just be sending.
func (l *Listener) EndKeepAlives() { l.closing.Store(true) }

// Accept accepts a connection. The server has taken over the former one when it calls Accept again.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.endOnce.Do(func() { close(l.ended) })
	}
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func (l *Listener) record(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.opened, conn)
	delete(l.active, conn)
	switch state {
	case http.StateNew:
		l.opened[conn] = l.now()
	case http.StateActive:
		l.active[conn] = true
	}
}

// Connections are the numbers of a listener's connections by what they do.
type Connections struct {
	// New have not brought a request yet, Active wait for a response. Accepted are all that were ever accepted.
	New, Active, Accepted int
}

// Connections returns how many connections bring their first request or wait for a response.
func (l *Listener) Connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Connections{New: len(l.opened), Active: len(l.active), Accepted: int(l.accepted.Load())}
}

// isBusy reports whether a request is being answered, or may be on its way on a new connection.
func (l *Listener) isBusy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.opened {
		if now.Sub(at) < newConnWait {
			return true
		}
	}
	return len(l.active) > 0
}

// acceptPending waits until the server has accepted the connections that the kernel has taken for it: closing the listener resets them.
func (l *Listener) acceptPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxPendingWait)
	defer cancel()
	for {
		n, err := pendingConnections(l.Listener)
		if err != nil || n == 0 {
			// Not every listener tells.
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pendingInterval):
		}
	}
}

// Drain closes the listener, waits until no request is on its way or being answered, and shuts the server down. Serve returns
// net.ErrClosed then. The error is that of ctx if requests were still running when it ended.
func (l *Listener) Drain(ctx context.Context) error {
	l.EndKeepAlives()
	l.acceptPending(ctx)
	if err := l.Close(); err != nil {
		return merry.Prepend(err, "close listener")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ended:
	}
	for l.isBusy(l.now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainInterval):
		}
	}
	// The server may still hold the closed listener.
	if err := l.server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
