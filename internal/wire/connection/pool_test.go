package connection

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// startPeer starts a listener that reads one request header on each connection, writes response and closes.
func startPeer(t *testing.T, response string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, readBufferBytes)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
			}()
		}
	}()
	return ln.Addr().String()
}

func isOtherCall(h http.Header) bool { return h.Get("Call") == "other" }

// TestDoesNotParseRestOfLongMismatchedBody covers an answer to another call that is too long to be skipped: what looks like
// a response inside its body is none.
func TestDoesNotParseRestOfLongMismatchedBody(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	body := strings.Repeat("x", maxSkippedBytes) + inner
	address := startPeer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	resp, err := NewPool().Send(context.Background(), address, Request{Method: http.MethodGet, URI: "/", Host: "h", IsMismatched: isOtherCall})
	if err == nil {
		got, _ := io.ReadAll(resp.Body)
		t.Errorf("got a response %q from inside the body of another call's, want an error", got)
	}
}
