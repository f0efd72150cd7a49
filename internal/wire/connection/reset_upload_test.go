package connection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// uploadBytes is more than the sockets of a connection hold.
const uploadBytes = 16 << 20

// earlyPeer answers each request as soon as its head has come, or before, and ends the connection while the rest is still on its way.
type earlyPeer struct {
	address string
	// answer is written at once, beforeHead without waiting for a request.
	answer     string
	beforeHead bool
	end        func(*net.TCPConn)
}

func (p *earlyPeer) start(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p.address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
}

func (p *earlyPeer) serve(c *net.TCPConn) {
	defer c.Close()
	if !p.beforeHead {
		if _, err := http.ReadRequest(bufio.NewReaderSize(io.LimitReader(c, 4096), 4096)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, p.answer)
	if !p.beforeHead {
		// The upload goes on until both sockets are full.
		time.Sleep(5 * time.Millisecond)
	}
	p.end(c)
}

// resetAtOnce closes a connection without a FIN.
func resetAtOnce(c *net.TCPConn) { _ = c.SetLinger(0) }

// closeUnread closes a connection whose received bytes have not been read, which resets it.
func closeUnread(c *net.TCPConn) { _ = c.Close() }

// endThenReset ends the response, and resets the connection later, since the rest of the request is not wanted.
func endThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
}

// readThenEnd reads the rest of the request and closes the connection.
func readThenEnd(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// TestResetDuringUploadIsNoEnd guards against a reset that only the sending of the request notices: the end of the connection that is
// read then is no end of a body without a length.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const part = "hello"
	const rounds = 40
	unframed := "HTTP/1.1 200 OK\r\n\r\n" + part
	tests := []struct {
		name     string
		answer   string
		end      func(*net.TCPConn)
		body     int
		early    bool
		complete bool
	}{
		{name: "reset, neither length nor chunks", answer: unframed, end: resetAtOnce, body: uploadBytes},
		{name: "reset, HTTP/1.0", answer: "HTTP/1.0 200 OK\r\n\r\n" + part, end: resetAtOnce, body: uploadBytes},
		{name: "reset, connection close", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part, end: resetAtOnce, body: uploadBytes},
		{name: "reset, failure", answer: "HTTP/1.1 500 Oops\r\n\r\n" + part, end: resetAtOnce, body: uploadBytes},
		{name: "reset, no body yet", answer: "HTTP/1.1 200 OK\r\n\r\n", end: resetAtOnce, body: uploadBytes},
		{name: "reset within a length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + part, end: resetAtOnce, body: uploadBytes},
		{name: "reset within chunks", answer: chunkedHead + "\r\n5\r\nhello\r\n", end: resetAtOnce, body: uploadBytes},
		{name: "reset after a length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + part, end: resetAtOnce, body: uploadBytes, complete: true},
		{name: "reset after the last chunk", answer: chunkedHead + "\r\n5\r\nhello\r\n0\r\n\r\n", end: resetAtOnce, body: uploadBytes, complete: true},
		{name: "closed with unread bytes", answer: unframed, end: closeUnread, body: uploadBytes},
		{name: "reset before a short request is sent", answer: unframed, end: resetAtOnce, early: true},
		{name: "ended, then reset", answer: unframed, end: endThenReset, body: uploadBytes, complete: true},
		{name: "ended, rest of the request read", answer: unframed, end: readThenEnd, body: uploadBytes, complete: true},
	}
	body := make([]byte, uploadBytes)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			peer := &earlyPeer{answer: tt.answer, beforeHead: tt.early, end: tt.end}
			peer.start(t)
			req := Request{Method: http.MethodPost, URI: "/", Host: "h", Body: body[:tt.body], IsOwn: func(http.Header) bool { return false }}
			if tt.early {
				// The head takes longer to be written than the peer takes to end the connection.
				req.Header = slowHeader()
			}
			want := "cut"
			if tt.complete {
				want = "complete"
			}
			got := map[string]int{}
			for range rounds {
				got[endOfResponse(peer.address, req, part)]++
			}
			if got[want] != rounds {
				t.Errorf("got %v, want %d %s", got, rounds, want)
			}
		})
	}
}

// slowHeader returns a header that takes some milliseconds to be written.
func slowHeader() http.Header {
	h := http.Header{}
	for i := range 50_000 {
		h[fmt.Sprintf("X-%d", i)] = []string{"x"}
	}
	return h
}

// endOfResponse sends a request and returns how its response ends, of which a part comes at least.
func endOfResponse(address string, r Request, part string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := NewPool().Send(ctx, address, r)
	if err != nil {
		if ctx.Err() != nil {
			return "late"
		}
		return "cut"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case ctx.Err() != nil:
		return "late"
	case err != nil:
		return "cut"
	case !strings.HasPrefix(part, string(data)):
		return fmt.Sprintf("%q", data)
	default:
		return "complete"
	}
}

// failingWriter is a connection whose writes fail, or wait for their deadline.
type failingWriter struct {
	net.Conn
	err      error
	deadline chan struct{}
}

func (w *failingWriter) Write([]byte) (int, error) {
	if w.err == nil {
		<-w.deadline
		return 0, os.ErrDeadlineExceeded
	}
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", w.err)}
}

func (w *failingWriter) SetWriteDeadline(time.Time) error {
	close(w.deadline)
	return nil
}

// TestLossThatWriterIsTold guards against other losses than a reset that only the sending of the request notices.
func TestLossThatWriterIsTold(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		isLost bool
	}{
		{name: "reset", err: syscall.ECONNRESET, isLost: true},
		{name: "bytes not acknowledged in time", err: syscall.ETIMEDOUT, isLost: true},
		{name: "peer's machine is gone", err: syscall.EHOSTUNREACH, isLost: true},
		{name: "network is gone", err: syscall.ENETUNREACH, isLost: true},
		{name: "reset after the peer's end", err: syscall.EPIPE},
		{name: "peer does not read"},
	}
	for _, tt := range tests {
		for _, size := range []int{0, readBufferBytes + 1} {
			if tt.err == nil && size == 0 {
				// A short request is sent before its response is read.
				continue
			}
			t.Run(fmt.Sprintf("%s, body of %d", tt.name, size), func(t *testing.T) {
				u := send(&failingWriter{err: tt.err, deadline: make(chan struct{})}, []byte("head"), make([]byte, size))
				if err := u.lossError(); (err != nil) != tt.isLost {
					t.Errorf("got %v, want a loss: %t", err, tt.isLost)
				}
				if u.isComplete() {
					t.Error("got a complete request")
				}
			})
		}
	}
}
