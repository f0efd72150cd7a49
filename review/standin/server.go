package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is the stand-in of an engine of a plain or a streaming service. It serves what names it, as long as its process would.
type server struct {
	id, service, zone string
	address           string
	store             *store
	record            *record
	http              *http.Server
	born              int64
	sequence          atomic.Int64
	// work serves one request that the server runs.
	work func(w http.ResponseWriter, r *http.Request)
	// onArrival is called when a request has arrived that names this server.
	onArrival func(s *server, id string, at time.Time)

	mu      sync.Mutex
	isGone  bool
	stopped chan struct{}
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born, s.stopped = time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	if err := s.beat(); err != nil {
		return err
	}
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.stopped:
				return
			case <-ticker.C:
				if err := s.beat(); err != nil {
					return
				}
			}
		}
	}()
	return nil
}

// beat writes the server's entry, unless the server is leaving.
func (s *server) beat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isGone {
		return nil
	}
	return s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
		"sequence": s.sequence.Add(1), "born": s.born,
	})
}

// leave removes the server's entry without a report that it drains; the server goes on serving. It returns when the store has
// accepted that.
func (s *server) leave(cutsWatches bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isGone = true
	return s.store.remove("servers", s.id, cutsWatches)
}

func (s *server) close() {
	if s.stopped != nil {
		close(s.stopped)
		_ = s.http.Close()
	}
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.record.add("%s runs at %s", id, s.id)
	s.onArrival(s, id, arrived)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Response-Seal", "3e1b."+id)
	s.work(w, r)
}

// answerAfter returns the work of a plain service.
func answerAfter(d time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "done "+r.Header.Get("X-Attempt-Id"))
	}
}

// eventInterval is the time between two events of a stream.
const eventInterval = 50 * time.Millisecond

// streamEvents is the work of a streaming service. The path ends with the number of events that the model happens to generate.
func streamEvents(w http.ResponseWriter, r *http.Request) {
	count := eventCount(r.URL.Path)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= count; i++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %d\n\n", i, i, count); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

// eventCount returns the number at the end of a path.
func eventCount(path string) int {
	start := len(path)
	for start > 0 && path[start-1] != '/' {
		start--
	}
	n, _ := strconv.Atoi(path[start:])
	return n
}
