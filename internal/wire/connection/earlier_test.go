package connection

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startScript starts a listener that writes for the n-th request on each connection the n-th text, and closes after the last one.
func startScript(t *testing.T, texts ...string) (address string) {
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
				for _, text := range texts {
					if _, err := c.Read(make([]byte, readBufferBytes)); err != nil {
						return
					}
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

const (
	earlierRefusal = "HTTP/1.1 503 Service Unavailable\r\nCall: other\r\nRefused: 1\r\nWait: 10\r\nContent-Length: 4\r\n\r\nfull"
	unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nWait: 10\r\nContent-Length: 4\r\n\r\nfull"
)

// exchange sends a request and reads the response.
func exchange(t *testing.T, p *Pool, address string, r Request) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, address, r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.Status, string(data), err
}

// newOwnRequest returns a request whose response is named "own"; that to an earlier request is named "other".
func newOwnRequest() Request {
	return Request{Method: http.MethodGet, URI: "/", Host: "h", IsMismatched: isOtherCall, IsOwn: isOwnCall}
}

// TestConnectionWithEarlierResponseIsNotUsedAgain covers a copy of an earlier response in front of the next one.
func TestConnectionWithEarlierResponseIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	const own = "HTTP/1.1 200 OK\r\nCall: own\r\nContent-Length: 5\r\n\r\nhello"
	for _, earlier := range []string{earlierRefusal, unnamedRefusal} {
		address := startScript(t, earlierRefusal, earlier+own, own)
		p := NewPool()
		first := Request{Method: http.MethodGet, URI: "/", Host: "h"}
		if status, _, err := exchange(t, p, address, first); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("got status %d (%v) first, want 503", status, err)
		}
		if status, body, err := exchange(t, p, address, newOwnRequest()); status != http.StatusOK || body != "hello" || err != nil {
			t.Errorf("got status %d with %q (%v), want the own response", status, body, err)
		}
		if p.take(time.Now(), address) != nil {
			t.Errorf("the connection is used again after %s", strings.SplitN(earlier, "\r\n", 2)[0])
		}
	}
}
