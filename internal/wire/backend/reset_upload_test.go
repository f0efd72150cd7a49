package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startResettingTarget starts a target that answers each request as soon as its head has come, and resets the connection while the
// rest of the request is on its way.
func startResettingTarget(t *testing.T, answer string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReaderSize(io.LimitReader(c, 4096), 4096)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		// The upload goes on until both sockets are full.
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// TestResponseResetDuringUploadIsIncomplete guards against a part of a response that passes as the whole, where the target resets the
// connection while a long request is still being sent to it. A response says itself where it ends.
func TestResponseResetDuringUploadIsIncomplete(t *testing.T) {
	const (
		rounds = 10
		single = `{"attempt":"a","output":`
		stream = `{"attempt":"a","n":1,"data":1}` + "\n"
	)
	// body is longer than the sockets of a connection hold.
	body := make([]byte, 16<<20)
	frames := map[string]string{
		"neither":  "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n%s",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nAttempt: a\r\n\r\n%s",
		"close":    "HTTP/1.1 200 OK\r\nAttempt: a\r\nConnection: close\r\n\r\n%s",
		"length":   "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 1000\r\n\r\n%s",
		"chunks":   "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n%-64s\r\n",
	}
	for name, frame := range frames {
		for _, isStream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", name, isStream), func(t *testing.T) {
				t.Parallel()
				part := single
				if isStream {
					part = stream
				}
				address := startResettingTarget(t, fmt.Sprintf(frame, part))
				for range rounds {
					a := Attempt{ID: "a", Stream: isStream, IdleTimeout: 2 * time.Second, Body: body}
					got := NewClient().Run(t.Context(), address, a, func(uint64, []byte) error { return nil })
					if _, ok := got.(Incomplete); !ok {
						t.Errorf("got %T %+v, want it incomplete", got, got)
					}
				}
			})
		}
	}
}
