package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// headReader reads from a connection, and fails if a header is longer than maxHeadBytes or maxHeadLines.
type headReader struct {
	netConn net.Conn
	// inHead is set while a header is read, of which left bytes and linesLeft lines may follow.
	inHead          bool
	left, linesLeft int
}

// beginHead is called before a header is read.
func (h *headReader) beginHead() { h.inHead, h.left, h.linesLeft = true, maxHeadBytes, maxHeadLines }

var errHeadTooLong = errors.New("response header is too long")

func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.netConn.Read(p)
	}
	if h.left <= 0 || h.linesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.netConn.Read(p[:min(len(p), h.left)])
	h.left -= n
	h.linesLeft -= bytes.Count(p[:n], []byte("\n"))
	return n, err
}

type conn struct {
	netConn   net.Conn
	head      *headReader
	reader    *bufio.Reader
	idleUntil time.Time
	// keepAlive is how long the target keeps the connection when it is idle.
	keepAlive time.Duration
	// wasUsed is set if an earlier request was answered on the connection.
	wasUsed bool
	// wasNamed is set if the response to an earlier request names it: a copy without the name would be taken for the response to a
	// request whose response names nothing.
	wasNamed bool
	// isSpoiled is set once a response was skipped: more of them may follow, so that no further request is sent.
	isSpoiled bool
}

// abandon resets the connection, so that what the network still holds back of a request is never delivered.
func (c *conn) abandon() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.Close()
}

// isUsable reports whether an idle connection is open and has received no bytes.
func (c *conn) isUsable() bool {
	_, err := c.peek(1)
	return c.reader.Buffered() == 0 && errors.Is(err, syscall.EAGAIN)
}

// peek returns up to n bytes that the socket holds, without waiting and without taking them; the error is EAGAIN if there are none.
func (c *conn) peek(n int) (data []byte, err error) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	buf := make([]byte, n)
	var received int
	var receiveErr error
	err = raw.Read(func(fd uintptr) bool {
		received, _, receiveErr = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return buf[:max(received, 0)], errors.Join(err, receiveErr)
}

func newConn(n net.Conn) *conn {
	head := &headReader{netConn: n}
	return &conn{netConn: n, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), keepAlive: defaultKeepAlive}
}

var (
	errMismatched    = errors.New("only mismatched responses were received")
	errInvalidStatus = errors.New("response has no valid status")
)

// readResponse reads up to the header of the response that belongs to r.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	for range maxMismatched {
		c.head.beginHead()
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.head.inHead = false
		if err != nil {
			return nil, err
		}
		if isMerged(resp) {
			return nil, errMerged
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, errInvalidStatus
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !c.isMismatched(r, resp.Header) {
			return resp, nil
		}
		c.isSpoiled = true
		if framing(resp) == FramedByClose {
			return nil, errMismatched
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxSkippedBytes {
			return nil, errMismatched
		}
	}
	return nil, errMismatched
}

// isMismatched reports whether a response is not that to r.
func (c *conn) isMismatched(r Request, h http.Header) bool {
	if r.IsMismatched != nil && r.IsMismatched(h) {
		return true
	}
	return c.wasUsed && r.IsOwn != nil && !r.IsOwn(h)
}
