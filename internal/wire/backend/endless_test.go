package backend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startEndlessTarget starts a target that answers each request with a start and then the same bytes again and again until its caller
// closes; written counts them.
func startEndlessTarget(t *testing.T, start, repeat string) (address string, written *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	written = &atomic.Int64{}
	repeat = strings.Repeat(repeat, 1+8192/len(repeat))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 8<<10)); err != nil {
					return
				}
				for next := start; ; next = repeat {
					n, err := io.WriteString(c, next)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), written
}

// TestEndlessBytesAreCut guards against a faulty target that sends bytes without end in a head or in a body: little of them is taken and
// kept, and the attempt ends.
func TestEndlessBytesAreCut(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\nAttempt: a\r\n"
		// socketBytes is what both sockets may hold of bytes that have not been read.
		socketBytes = 8 << 20
		event       = `{"attempt":"a","n":1,"data":1}` + "\n"
	)
	tests := []struct {
		name, start, repeat string
		inHead, isStream    bool
	}{
		{name: "no head", repeat: "\xff\xfe", inHead: true},
		{name: "blank lines", repeat: "\r\n", inHead: true},
		{name: "status line", start: "HTTP/1.1 200 ", repeat: "O", inHead: true},
		{name: "short lines", start: ok, repeat: "a:\r\n", inHead: true},
		{name: "value", start: ok + "X-Long: ", repeat: "x", inHead: true},
		{name: "interim responses", repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", inHead: true},
		{name: "body", start: ok + "\r\n", repeat: "x"},
		{name: "body in chunks", start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "5\r\nhello\r\n"},
		{name: "body with a length", start: ok + "Content-Length: 1000000000000\r\n\r\n", repeat: "x"},
		{name: "event", start: ok + "\r\n", repeat: "x", isStream: true},
		{name: "event in chunks", start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "5\r\nhello\r\n", isStream: true},
		{name: "blank lines of a stream", start: ok + "\r\n", repeat: "\n", isStream: true},
		{name: "the same event", start: ok + "\r\n", repeat: event, isStream: true},
		{name: "events of another attempt", start: ok + "\r\n", repeat: `{"attempt":"b","n":1,"data":1}` + "\n", isStream: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, written := startEndlessTarget(t, tt.start, tt.repeat)
			a := Attempt{ID: "a", Stream: tt.isStream, IdleTimeout: time.Minute, Body: []byte("{}")}
			began := time.Now()
			got := NewClient().Run(t.Context(), address, a, func(uint64, []byte) error { return nil })
			if _, ok := got.(Incomplete); !ok {
				t.Errorf("got %T, want it incomplete", got)
			}
			if took := time.Since(began); took >= a.IdleTimeout {
				t.Errorf("got an end only by the silence of %s", took)
			}
			// Chunks of five bytes double what a body takes on the wire.
			most := int64(2*maxResponseBytes + socketBytes)
			if tt.inHead {
				most = maxHeadBytes + socketBytes
			}
			if got := written.Load(); got > most {
				t.Errorf("got %d bytes taken from the target, want at most %d", got, most)
			}
		})
	}
}

// TestEndlessStreamIsCut guards against a stream of sound events without end, each of which is kept for callers that resume.
func TestEndlessStreamIsCut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		writeEvents(c)
	}()
	passed := 0
	got := NewClient().Run(t.Context(), ln.Addr().String(), Attempt{ID: "a", Stream: true, IdleTimeout: time.Minute, Body: []byte("{}")}, func(_ uint64, data []byte) error {
		passed += len(data)
		return nil
	})
	if _, ok := got.(Incomplete); !ok {
		t.Errorf("got %T, want it incomplete", got)
	}
	if passed == 0 || passed > maxResponseBytes {
		t.Errorf("got %d bytes of events passed on, want some and at most %d", passed, maxResponseBytes)
	}
}

// writeEvents answers a request with events of 4 KiB until the connection is closed, or ten times as many bytes as a response may have
// have been sent.
func writeEvents(c net.Conn) {
	if _, err := c.Read(make([]byte, 8<<10)); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n")
	data := strings.Repeat("x", 4<<10)
	for n := 1; n*len(data) < 10*maxResponseBytes; n++ {
		if _, err := fmt.Fprintf(c, `{"attempt":"a","n":%d,"data":"%s"}`+"\n", n, data); err != nil {
			return
		}
	}
}
