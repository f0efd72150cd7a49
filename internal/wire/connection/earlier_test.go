package connection

import (
	"context"
	"fmt"
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
func exchange(p *Pool, address string, r Request) (status int, body string, err error) {
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
	isStray := func(_ int, h http.Header) bool { return isOtherCall(h) || (!isOwnCall(h) && h.Get("Refused") != "") }
	return Request{Method: http.MethodGet, URI: "/", Host: "h", IsMismatched: isOtherCall, IsOwn: isOwnCall, IsStray: isStray}
}

// TestConnectionWithEarlierResponseIsNotUsedAgain covers a copy of an earlier response in front of the next one.
func TestConnectionWithEarlierResponseIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	const own = "HTTP/1.1 200 OK\r\nCall: own\r\nContent-Length: 5\r\n\r\nhello"
	for _, earlier := range []string{earlierRefusal, unnamedRefusal} {
		address := startScript(t, earlierRefusal, earlier+own, own)
		p := NewPool()
		first := Request{Method: http.MethodGet, URI: "/", Host: "h"}
		if status, _, err := exchange(p, address, first); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("got status %d (%v) first, want 503", status, err)
		}
		if status, body, err := exchange(p, address, newOwnRequest()); status != http.StatusOK || body != "hello" || err != nil {
			t.Errorf("got status %d with %q (%v), want the own response", status, body, err)
		}
		if p.take(time.Now(), address) != nil {
			t.Errorf("the connection is used again after %s", strings.SplitN(earlier, "\r\n", 2)[0])
		}
	}
}

// ownResponses are responses to the own request by framing; their bodies are wantBody.
var ownResponses = map[Framing]string{
	FramedByLength: "HTTP/1.1 200 OK\r\nCall: own\r\nServer: a\r\nContent-Length: 10\r\n\r\n" + wantBody,
	FramedByChunks: "HTTP/1.1 200 OK\r\nCall: own\r\nServer: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n",
	FramedByClose:  "HTTP/1.1 200 OK\r\nCall: own\r\nServer: a\r\n\r\n" + wantBody,
}

const wantBody = "helloworld"

// readAfterEarlier reads the response to the own request on a connection that was used before and has the bytes of text.
func readAfterEarlier(text string) (status int, body string, err error) {
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		_, _ = io.WriteString(server, text)
		_ = server.Close()
	}()
	c := newConn(client)
	c.wasUsed = true
	resp, err := c.readResponse(newOwnRequest())
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(c.filterBody(resp, newOwnRequest()))
	return resp.StatusCode, string(data), err
}

// TestEarlierResponseAnywhereIsNotTaken covers a copy of an earlier response whole or in two parts, at each byte of it and of the next
// response: that one is read as it is, or not at all.
func TestEarlierResponseAnywhereIsNotTaken(t *testing.T) {
	t.Parallel()
	check := func(name, text string, isWhole bool) {
		status, body, err := readAfterEarlier(text)
		if isRead := err == nil; (isRead || isWhole) && (status != http.StatusOK || body != wantBody || err != nil) {
			t.Errorf("%s: got status %d with %q (%v), want the own response", name, status, body, err)
		}
	}
	for framing, own := range ownResponses {
		for _, earlier := range []string{earlierRefusal, unnamedRefusal} {
			for at := range len(own) + 1 {
				isWhole := at == 0 || at == len(own) && framing != FramedByClose
				check(fmt.Sprintf("%s, copy of %q at byte %d", framing, earlier, at), own[:at]+earlier+own[at:], isWhole)
			}
			for at := 1; at < len(earlier); at++ {
				check(fmt.Sprintf("%s, parts of %q from byte %d around it", framing, earlier, at), earlier[:at]+own+earlier[at:], false)
			}
		}
	}
}
