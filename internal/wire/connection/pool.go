package connection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// dialTimeout is several round trips inside a region, and less than any latency objective of a model's route.
	dialTimeout = 700 * time.Millisecond
	// An unresponsive peer's connection is closed after probeIdle and probeCount probes, sooner than the time that the
	// requirements allow for a connection that is reset.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultKeepAlive is how long an idle connection is kept if the target names no time.
	defaultKeepAlive = 20 * time.Second
	// keepAliveMargin is subtracted from the time that the target names, since it names whole seconds.
	keepAliveMargin = 600 * time.Millisecond
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 6
	// maxMismatched is how many mismatched responses are read on one connection before it is closed.
	maxMismatched = 3
	// maxSkippedBytes bounds the body of a mismatched response that is skipped: the response that is waited for stands behind it.
	maxSkippedBytes = 1 << 20
	readBufferBytes = 8 << 10
	// maxHeadBytes bounds a response up to the end of its header.
	maxHeadBytes = 256 << 10
	// maxHeadLines bounds the lines of that, each of which costs much more than its bytes.
	maxHeadLines = 1000
)

// The ways in which a send can fail.
var (
	// ErrUnsent means that not one byte of the request reached the network.
	ErrUnsent = merry.Sentinel("request was not sent")
	// ErrNoResponse means that the request was sent, at least in part, and no complete response came.
	ErrNoResponse = merry.Sentinel("no response after the request was sent")
)

// HopByHopHeaders are the headers that concern one connection only and are never passed on.
var HopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is written as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IsMismatched reports whether a response header belongs to another request; it may be nil.
	IsMismatched func(http.Header) bool
	// IsOwn reports whether a response header names this request; it may be nil. On a connection that was used before, a response
	// that does not name the request may be a copy of an earlier one and is skipped.
	IsOwn func(http.Header) bool
	// IsStray reports whether a response cannot be a part of the body of this request's response, since it is a target's response to
	// another request; it may be nil.
	IsStray func(status int, h http.Header) bool
	// IsAlone is set if the request needs a connection of its own, since nothing in its response tells it from a late copy of an
	// earlier response.
	IsAlone bool
}

// Framing is how a response marks the end of its body.
type Framing string

const (
	// FramedByLength bodies have a Content-Length, or no body is allowed.
	FramedByLength Framing = "length"
	// FramedByChunks bodies end with a last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByClose bodies end when the connection is closed, so that the end of a truncated one may look the same.
	FramedByClose Framing = "close"
)

// Response is a target's response; Body must be closed.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Framing Framing
	// Skipped is set if responses that are not the request's came before it.
	Skipped bool
}

// framing returns how a response marks the end of its body.
func framing(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// Pool keeps connections to targets.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// unused has for each address at most one connection that no request was sent on.
	unused map[string]*conn
	dialer net.Dialer
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, unused: map[string]*conn{}, dialer: NewDialer(dialTimeout)}
}

// NewDialer returns a dialer whose connections detect an unresponsive peer.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	const tcpUserTimeout = 0x12
	timeout := probeIdle + probeCount*probeInterval
	var err error
	if e := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// take returns the idle connection to an address that was used last, or nil.
func (p *Pool) take(now time.Time, address string) *conn {
	return p.takeWhere(now, address, func(*conn) bool { return true })
}

func (p *Pool) takeWhere(now time.Time, address string, fits func(*conn) bool) *conn {
	for {
		c := p.remove(address, fits)
		if c == nil || (now.Before(c.idleUntil) && c.isUsable()) {
			return c
		}
		_ = c.netConn.Close()
	}
}

// remove takes the last idle connection that fits out of the pool, and returns nil if there is none.
func (p *Pool) remove(address string, fits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; fits(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(now time.Time, address string, c *conn) {
	c.idleUntil = now.Add(c.keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdleConns || c.keepAlive <= 0 {
		_ = c.netConn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	if c := p.unused[address]; c != nil {
		list = append(list, c)
	}
	delete(p.idle, address)
	delete(p.unused, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.netConn.Close()
	}
}

// Sweep closes the idle connections that have expired, and those to addresses at which there is no target any more.
func (p *Pool) Sweep(now time.Time, hasTarget func(address string) bool) {
	for _, c := range p.expired(now, hasTarget) {
		_ = c.netConn.Close()
	}
}

// expired takes the connections that Sweep closes out of the pool.
func (p *Pool) expired(now time.Time, hasTarget func(address string) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for address, list := range p.idle {
		isGone := !hasTarget(address)
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if isGone || !now.Before(c.idleUntil) {
				expired = append(expired, c)
				return true
			}
			return false
		})
		if p.idle[address] = list; len(list) == 0 {
			delete(p.idle, address)
		}
	}
	for address, c := range p.unused {
		if !hasTarget(address) || !now.Before(c.idleUntil) {
			expired = append(expired, c)
			delete(p.unused, address)
		}
	}
	return expired
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "dial")
	}
	return newConn(n), nil
}

// refusedTimeout is several round trips inside a region.
const refusedTimeout = 150 * time.Millisecond

// IsRefused reports whether an address refuses connections: its VM is there and its process is not. A connection that it
// accepts is kept for later requests.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusedTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(time.Now(), address, c)
	return false
}

// Send sends a request and reads the response header; the connection is closed if ctx ends before the body does.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Response, error) {
	c := p.takeFor(time.Now(), address, r)
	if c == nil {
		fresh, err := p.dial(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		c = fresh
	}
	if ctx.Err() != nil {
		p.put(time.Now(), address, c)
		return nil, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	}
	if r.IsAlone {
		go p.prepare(address)
	}
	stop := context.AfterFunc(ctx, c.abandon)
	sent := send(c.netConn, r.head(), r.Body)
	resp, err := c.readResponse(r)
	if err != nil {
		stop()
		c.abandon()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp.Body = c.filterBody(resp, r)
	c.wasNamed = c.wasNamed || r.IsOwn != nil
	b := &responseBody{pool: p, address: address, conn: c, resp: resp, sent: sent, stopCancel: stop, isAlone: r.IsAlone}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b, Framing: framing(resp), Skipped: c.isSpoiled}, nil
}

// takeFor returns an open connection for a request, or nil.
func (p *Pool) takeFor(now time.Time, address string, r Request) *conn {
	switch {
	case r.IsAlone:
	case r.IsOwn == nil:
		return p.takeWhere(now, address, func(c *conn) bool { return !c.wasNamed })
	default:
		return p.take(now, address)
	}
	p.mu.Lock()
	c := p.unused[address]
	delete(p.unused, address)
	p.mu.Unlock()
	if c == nil || (now.Before(c.idleUntil) && c.isUsable()) {
		return c
	}
	_ = c.netConn.Close()
	return nil
}

// prepare opens a connection for the next request that needs one of its own, so that the request does not wait for it.
func (p *Pool) prepare(address string) {
	p.mu.Lock()
	isReady := p.unused[address] != nil
	p.mu.Unlock()
	if isReady {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		// The next request opens its connection itself, and reports the error.
		return
	}
	c.idleUntil = time.Now().Add(c.keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unused[address] != nil {
		_ = c.netConn.Close()
		return
	}
	p.unused[address] = c
}

func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for k, values := range r.Header {
		for _, v := range values {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// responseBody is the body of a response; Close returns the connection to the pool if the body was read to its end.
type responseBody struct {
	pool       *Pool
	address    string
	conn       *conn
	resp       *http.Response
	sent       *upload
	stopCancel func() bool
	isAlone    bool
	atEOF      bool
	closed     bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if framing(b.resp) == FramedByClose {
		if lost := b.sent.lossError(); lost != nil {
			return n, lost
		}
	}
	b.atEOF = true
	return n, err
}

// Close returns the connection to the pool or closes it.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	active := b.stopCancel()
	if !b.atEOF || !active {
		b.conn.abandon()
		return nil
	}
	// A target that responds before it has read a long body still waits for the rest of it on this connection.
	reusable := !b.isAlone && !b.conn.isSpoiled && !b.resp.Close && b.sent.isComplete()
	if !reusable || framing(b.resp) == FramedByClose {
		return b.conn.netConn.Close()
	}
	b.conn.wasUsed = true
	b.conn.keepAlive = parseKeepAlive(b.resp.Header, b.conn.keepAlive)
	b.pool.put(time.Now(), b.address, b.conn)
	return nil
}

// parseKeepAlive returns how long the target keeps an idle connection, or current if the header does not say.
func parseKeepAlive(h http.Header, current time.Duration) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - keepAliveMargin
		}
	}
	return current
}
