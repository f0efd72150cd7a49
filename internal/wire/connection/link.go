package connection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// dialTimeout is several round trips inside a region, and less than any aim of a model's route.
	dialTimeout = 700 * time.Millisecond
	// A silent peer is given up after probeIdle + probeCount probes, below the time that rules allow for a
	// connection that is reset.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// idleDefault is how long a connection is kept whose target names no time.
	idleDefault = 20 * time.Second
	// idleMargin is kept before the time that the target names, since it names whole seconds.
	idleMargin = 600 * time.Millisecond
	// maxIdle bounds the unused connections to one target.
	maxIdle = 6
	// maxForeign is how many answers to other requests are skipped on one connection.
	maxForeign = 3
	// skipBytes bounds the body of an answer that is skipped.
	skipBytes  = 4 << 20
	readBuffer = 8 << 10
)

// The ways in which a send can fail.
var (
	// ErrUnsent means that not one byte of the request reached the network.
	ErrUnsent = merry.Sentinel("request was not sent")
	// ErrNoResponse means that the request was sent, at least in part, and no whole answer came.
	ErrNoResponse = merry.Sentinel("no answer after the request was sent")
)

// HopByHopHeaders are the headers that concern one connection only and are never passed on.
var HopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Request is what is sent.
type Request struct {
	Method string
	// URI is written as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IsMismatched tells of an answer's header whether the answer belongs to another request; it may be nil.
	IsMismatched func(http.Header) bool
}

// Response is a target's answer; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Pool keeps connections to targets.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer net.Dialer
}

// NewPool makes a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, dialer: NewDialer(dialTimeout)}
}

// NewDialer makes connections that notice a peer which has fallen silent.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         userTimeout,
	}
}

// userTimeout bounds how long sent bytes may stay without an acknowledgement.
func userTimeout(_, _ string, c syscall.RawConn) error {
	const tcpUserTimeout = 0x12
	bound := probeIdle + probeCount*probeEvery
	var err error
	if e := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

type conn struct {
	net   net.Conn
	read  *bufio.Reader
	until time.Time
	// keep is how long the target said it keeps the connection.
	keep time.Duration
}

// alive tells whether an unused connection is open and has brought no bytes.
func (c *conn) alive() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) take(now time.Time, address string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.alive() {
			return c
		}
		_ = c.net.Close()
	}
}

func (p *Pool) put(now time.Time, address string, c *conn) {
	c.until = now.Add(c.keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle || c.keep <= 0 {
		_ = c.net.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the unused connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.net.Close()
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "dial")
	}
	return &conn{net: n, read: bufio.NewReaderSize(n, readBuffer), keep: idleDefault}, nil
}

// Send sends a request and reads the answer's header; the connection is closed when ctx ends before the body does.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Response, error) {
	c := p.take(time.Now(), address)
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
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	sent := make(chan error, 1)
	head := r.head()
	if len(r.Body) <= readBuffer {
		_, err := c.net.Write(append(head, r.Body...))
		sent <- err
	} else {
		go func() {
			_, err := (&net.Buffers{head, r.Body}).WriteTo(c.net)
			sent <- err
		}()
	}
	resp, err := c.answer(r)
	if err != nil {
		stop()
		_ = c.net.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	b := &body{pool: p, address: address, conn: c, resp: resp, sent: sent, stop: stop}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
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

var errForeign = errors.New("only answers to other requests came")

// answer reads up to the header of the answer that belongs to r.
func (c *conn) answer(r Request) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(c.read, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.IsMismatched == nil || !r.IsMismatched(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, skipBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// body is an answer's body; it gives the connection back once it has been read to its end.
type body struct {
	pool    *Pool
	address string
	conn    *conn
	resp    *http.Response
	sent    chan error
	stop    func() bool
	ended   bool
	closed  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close gives the connection back or closes it.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	running := b.stop()
	keep := b.ended && running && !b.resp.Close && b.written()
	framed := b.resp.ContentLength >= 0 || len(b.resp.TransferEncoding) > 0
	if !keep || !framed {
		return b.conn.net.Close()
	}
	b.conn.keep = keepTime(b.resp.Header, b.conn.keep)
	b.pool.put(time.Now(), b.address, b.conn)
	return nil
}

// written tells whether the whole request is out; a target that answered before it had read a long body still
// waits for the rest of it on this connection.
func (b *body) written() bool {
	select {
	case err := <-b.sent:
		return err == nil
	default:
		return false
	}
}

// keepTime reads how long the target keeps the connection.
func keepTime(h http.Header, before time.Duration) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return before
}
