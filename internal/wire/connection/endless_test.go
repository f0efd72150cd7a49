package connection

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessPeer answers each request with a start and then the same bytes again and again until its caller closes.
type endlessPeer struct {
	address string
	written atomic.Int64
	open    atomic.Int32
}

func newEndlessPeer(t *testing.T, start, repeat string) *endlessPeer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &endlessPeer{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.open.Add(1)
			go p.serve(c, start, strings.Repeat(repeat, 1+readBufferBytes/len(repeat)))
		}
	}()
	return p
}

func (p *endlessPeer) serve(c net.Conn, start, repeat string) {
	defer p.open.Add(-1)
	defer c.Close()
	if _, err := c.Read(make([]byte, readBufferBytes)); err != nil {
		return
	}
	for next := start; ; next = repeat {
		n, err := io.WriteString(c, next)
		p.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessHeadIsCut covers a target that writes bytes without end where a response header is due: they are not collected,
// and the connection is closed soon.
func TestEndlessHeadIsCut(t *testing.T) {
	// socketBytes is more than both sockets hold of bytes that have not been read.
	const socketBytes = 16 << 20
	tests := []struct{ name, start, repeat string }{
		{name: "no status line", repeat: "\x00\x01binary"},
		{name: "status line", start: "HTTP/1.1 200 ", repeat: "OK"},
		{name: "blank lines", repeat: "\r\n"},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeat: "X-More: of the same\r\n"},
		{name: "header value", start: "HTTP/1.1 200 OK\r\nX-Long: ", repeat: "x"},
		{name: "continued header line", start: "HTTP/1.1 200 OK\r\nX-Long: x\r\n", repeat: " y\r\n"},
		{name: "interim responses", repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{name: "interim response", start: "HTTP/1.1 103 Early Hints\r\n", repeat: "Link: x\r\n"},
		{name: "answers to another call", repeat: "HTTP/1.1 200 OK\r\nCall: other\r\nContent-Length: 0\r\n\r\n"},
		{name: "body of another call's answer", start: "HTTP/1.1 200 OK\r\nCall: other\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "5\r\nhello\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer := newEndlessPeer(t, tt.start, tt.repeat)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			resp, err := NewPool().Send(ctx, peer.address, Request{Method: http.MethodGet, URI: "/", Host: "h", IsMismatched: isOtherCall})
			if err == nil {
				resp.Body.Close()
				t.Fatalf("got a response with status %d, want an error", resp.Status)
			}
			if ctx.Err() != nil {
				t.Errorf("got %v only when the time for the request was over", err)
			}
			for end := time.Now().Add(2 * time.Second); peer.open.Load() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := peer.open.Load(); got != 0 {
				t.Errorf("got %d connections left open, want none", got)
			}
			if got := peer.written.Load(); got > maxSkippedBytes+socketBytes {
				t.Errorf("got %d bytes taken from the target, want at most %d", got, maxSkippedBytes+socketBytes)
			}
		})
	}
}

// TestManyHeaderLinesAreCut covers headers of short lines, which cost the more time the more lines are read.
func TestManyHeaderLinesAreCut(t *testing.T) {
	const line = "X-A: b\r\n"
	tests := []struct {
		name    string
		lines   int
		wantErr bool
	}{
		{name: "as many as a header may have", lines: maxHeadLines - 3},
		{name: "many more", lines: maxHeadBytes / len(line) / 2, wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			written := make(chan int, 1)
			go func() {
				n, _ := io.WriteString(far, "HTTP/1.1 200 OK\r\n"+strings.Repeat(line, tt.lines)+"Content-Length: 0\r\n\r\n")
				written <- n
			}()
			resp, err := newConn(near).readResponse(Request{Method: http.MethodGet})
			if (err != nil) != tt.wantErr {
				t.Errorf("got error %v for %d lines, want one: %t", err, tt.lines, tt.wantErr)
			}
			if err == nil {
				_ = resp.Body.Close()
			}
			_ = near.Close()
			if got, most := <-written, (maxHeadLines+1)*len(line)+readBufferBytes; got > most {
				t.Errorf("got %d bytes read, want at most %d", got, most)
			}
		})
	}
}
