package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestHeadMeter covers where heads end, whatever the pieces in which they arrive.
func TestHeadMeter(t *testing.T) {
	for _, c := range []struct {
		name, data string
		length     int
		isDone     bool
	}{
		{"head with a body", "GET / HTTP/1.1\r\na: b\r\n\r\nbody\n\n", 24, true},
		{"bare line feeds", "GET / HTTP/1.1\na: b\n\nrest", 21, true},
		{"empty lines before a request", "\r\n\n\r\nGET / HTTP/1.1\r\n\r\nrest", 23, true},
		{"without end", "GET / HTTP/1.1\r\na:\r\nb:\r\n", 24, false},
		{"list of items", "GET / HTTP/1.1\r\na: 1,2,3\r\n\r\nx,y", 28, true},
		{"only empty lines", "\r\n\r\n\r\n", 6, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.data); size++ {
				var m headMeter
				var cost int64
				length := 0
				for at := 0; at < len(c.data) && !m.isDone; at += size {
					next, n, cc := m.with([]byte(c.data[at:min(len(c.data), at+size)]))
					m, length, cost = next, length+n, cost+cc
				}
				head := c.data[:c.length]
				wantCost := int64(strings.Count(head, "\n"))*lineCost + int64(strings.Count(head, ","))*itemCost + int64(len(head))*byteCost
				if length != c.length || m.isDone != c.isDone || cost != wantCost {
					t.Fatalf("pieces of %d: got length %d, done %v, cost %d, want %d, %v, %d", size, length, m.isDone, cost, c.length, c.isDone, wantCost)
				}
			}
		})
	}
}

type silentMeter struct{}

func (silentMeter) CountIntake(string, string) {}

// startServer serves bodies back through a gate.
func startServer(t *testing.T, l Limits) (address string, g *Gate) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g = NewGate(Config{Port: "test", Limits: l, Log: log, Meter: silentMeter{}, Now: time.Now})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := FromContext(r.Context()).ReadBody(r.Context(), r.Body, r.ContentLength, 1<<20)
		if errors.Is(err, ErrRejected) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(data))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := Serve(g, s, ln)
	go func() { _ = s.Serve(bounded) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), g
}

// TestPipelinedRequests covers requests that arrive in one piece: each is answered, in its order, and nothing stays held.
func TestPipelinedRequests(t *testing.T) {
	address, g := startServer(t, Limits{Bytes: 1 << 20})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	body := strings.Repeat("\n", 3000)
	_, _ = fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n%sPOST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n%s\r\n0\r\n\r\nGET /4 HTTP/1.1\r\nHost: x\r\n\r\n", body, body)
	r := bufio.NewReader(c)
	for _, want := range []string{"/1 0", "/2 3000", "/3 3000", "/4 0"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(resp.Body); string(got) != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		held := g.budget.Held()
		g.mu.Unlock()
		if held == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d bytes held after the last response, want 0", held)
		}
	}
}

// TestStoppedBodiesGiveWay covers bodies that stop one byte short: another request has their room, and they get a rejection.
func TestStoppedBodiesGiveWay(t *testing.T) {
	const size = 1 << 20
	address, _ := startServer(t, Limits{Bytes: 4 * size, ReadTime: 50 * time.Millisecond, StallTime: time.Second, Wait: 5 * time.Second})
	var stopped []net.Conn
	post := func(n int) net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", n))
		return c
	}
	for range 6 {
		stopped = append(stopped, post(size-1))
	}
	resp, err := http.ReadResponse(bufio.NewReader(post(size)), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v (%v), want 200", resp, err)
	}
	resp, err = http.ReadResponse(bufio.NewReader(stopped[0]), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v (%v) for a body that stopped, want 503", resp, err)
	}
}
