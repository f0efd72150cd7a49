package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startCopyingTarget starts a target that answers each request on a connection with a status and header, and sends the first
// answer once more while the next request is there; that one is answered with another status.
func startCopyingTarget(t *testing.T, first, second string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int32
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for isFirstHere := true; ; isFirstHere = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if requests.Add(1) == 1 {
				fmt.Fprintf(c, first, req.Header.Get(HeaderAttempt))
				continue
			}
			if !isFirstHere {
				fmt.Fprintf(c, first, "a")
			}
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(c, second, req.Header.Get(HeaderAttempt))
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// TestLateCopyOfRejectionIsNotTaken covers a second copy of an attempt's rejection that arrives while the next attempt runs.
func TestLateCopyOfRejectionIsNotTaken(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nRefused: twice\r\nAttempt: %s\r\nContent-Length: 0\r\n\r\n"
	const answered = "HTTP/1.1 200 OK\r\nAttempt: %[1]s\r\nContent-Length: 28\r\n\r\n{\"attempt\":\"b\",\"output\":\"x\"}"
	address := startCopyingTarget(t, rejected, answered)
	c := NewClient()
	for _, id := range []string{"a", "b"} {
		got := c.Run(t.Context(), address, Attempt{ID: id, IdleTimeout: time.Second}, func(uint64, []byte) error { return nil })
		if _, isRefused := got.(Refused); isRefused != (id == "a") {
			t.Errorf("got %T %+v for attempt %s, want it rejected: %t", got, got, id, id == "a")
		}
	}
}

// TestLateCopyOfCancelIsNotTaken covers a second copy of a confirmation that arrives while the next attempt is being cancelled.
func TestLateCopyOfCancelIsNotTaken(t *testing.T) {
	const confirmed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUnused: %s\r\n\r\n"
	const runs = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\nUnused: %s\r\n\r\n"
	address := startCopyingTarget(t, confirmed, runs)
	c := NewClient()
	if err := c.Cancel(t.Context(), address, "a"); err != nil {
		t.Errorf("got error %v for a cancel that is confirmed", err)
	}
	if err := c.Cancel(t.Context(), address, "b"); err == nil {
		t.Error("got a confirmation for an attempt that runs, want an error")
	}
}

// TestConnectionWithLateCopyIsNotUsedAgain covers a second copy of a rejection that arrives before the next attempt's answer: attempts
// after it get their own answers.
func TestConnectionWithLateCopyIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nRefused: twice\r\nAttempt: a\r\nContent-Length: 0\r\n\r\n"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		isCopied := false
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get(HeaderAttempt)
			if id == "a" || !isCopied && id == "b" {
				fmt.Fprint(c, rejected)
				isCopied = id == "b"
			}
			if id != "a" {
				time.Sleep(20 * time.Millisecond)
				body := fmt.Sprintf(`{"attempt":%q,"output":"x"}`, id)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	c := NewClient()
	for _, id := range []string{"a", "b", "c", "d"} {
		got := c.Run(t.Context(), ln.Addr().String(), Attempt{ID: id, IdleTimeout: time.Second}, func(uint64, []byte) error { return nil })
		_, isRefused := got.(Refused)
		if _, isComplete := got.(Complete); isRefused != (id == "a") || isComplete != (id > "b") {
			t.Errorf("got %T %+v for attempt %s, want a rejected, b without an answer and the others answered", got, got, id)
		}
	}
}
