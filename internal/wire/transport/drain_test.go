package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestDrainCutsNoRequestThatWasRead covers callers who open connections and send a request on each until a server no longer listens.
func TestDrainCutsNoRequestThatWasRead(t *testing.T) {
	const rounds, callers = 20, 30
	var cut, answered atomic.Int32
	for range rounds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var read sync.Map
		s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Millisecond) })}
		server := NewListener(acceptRecorder{l, &read}, s, time.Now)
		go func() { _ = s.Serve(server) }()
		var clients sync.WaitGroup
		for range callers {
			clients.Go(func() {
				for {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return
					}
					fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
					data, err := io.ReadAll(c)
					_ = c.Close()
					// A connection that the server has not accepted has not been read.
					if _, ok := read.Load(c.LocalAddr().String()); ok && (err != nil || len(data) == 0) {
						cut.Add(1)
					} else if len(data) > 0 {
						answered.Add(1)
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if err := server.Drain(ctx); err != nil {
			t.Errorf("got error %v, want a server that has drained", err)
		}
		cancel()
		clients.Wait()
	}
	if cut.Load() > 0 || answered.Load() < rounds*callers {
		t.Errorf("got %d requests cut and %d answered, want none cut", cut.Load(), answered.Load())
	}
}

// acceptRecorder records the addresses of the callers whose connections were accepted.
type acceptRecorder struct {
	net.Listener
	accepted *sync.Map
}

func (l acceptRecorder) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(c.RemoteAddr().String(), true)
	}
	return c, err
}

// TestDrainEndsInTime covers a connection that brings no request, and a request that outlasts the time to drain.
func TestDrainEndsInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	block := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block })}
	server := NewListener(l, s, time.Now)
	go func() { _ = s.Serve(server) }()
	for _, data := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, data)
	}
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	started := time.Now()
	if err := server.Drain(ctx); err == nil {
		t.Error("got no error while a request runs")
	}
	if got, want := time.Since(started), time.Second; got > want {
		t.Errorf("got %s, want the end of the context", got)
	}
	close(block)
	_ = s.Close()
}

// TestStopAnswersRequestsOnIdleConnections covers callers whose connections are idle when a stop begins, and who use them until the
// server no longer listens.
func TestStopAnswersRequestsOnIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	server := NewListener(l, s, time.Now)
	go func() { _ = s.Serve(server) }()
	defer s.Close()
	const callers = 50
	var conns []net.Conn
	var readers []*bufio.Reader
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns, readers = append(conns, c), append(readers, bufio.NewReader(c))
	}
	request := func(i int) (*http.Response, error) {
		if _, err := fmt.Fprint(conns[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(readers[i], nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	for i := range callers {
		if resp, err := request(i); err != nil || resp.Close {
			t.Fatalf("got error %v before the stop, want a connection that stays open", err)
		}
	}
	server.EndKeepAlives()
	for i := range callers {
		if resp, err := request(i); err != nil || !resp.Close {
			t.Errorf("got error %v during the stop, want a response that ends its connection", err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		t.Errorf("got error %v, want a server that has drained", err)
	}
}

// TestResponseThatBeginsDuringStopEndsItsConnection covers a request that is read before a stop and answered after it has begun.
func TestResponseThatBeginsDuringStopEndsItsConnection(t *testing.T) {
	for _, explicit := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		read, release := make(chan struct{}), make(chan struct{})
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(read)
			<-release
			if explicit {
				w.WriteHeader(http.StatusAccepted)
			}
		})}
		server := NewListener(l, s, time.Now)
		go func() { _ = s.Serve(server) }()
		defer s.Close()
		go func() {
			<-read
			server.EndKeepAlives()
			close(release)
		}()
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if !resp.Close {
			t.Errorf("got a connection that stays open (status written: %v), want it to end", explicit)
		}
	}
}
