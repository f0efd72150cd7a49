package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	at      time.Time
	id      string
	engine  string
	service string
	// via is the node that the client sent the request to.
	via string
	// ran is set if the engine worked on it.
	ran bool
}

// journal collects what clients and engines see, safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	arrivals []arrival
	requests []request
}

func (j *journal) addArrival(a arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

func (j *journal) addRequest(r request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, r)
}

// headerVia is a header of the clients that names the node to which they sent a request; nodes pass it on.
const headerVia = "X-Rig-Via"

// engine is a stand-in of an engine of a plain service: it works on a number of requests at once, queues a few more and rejects the
// others, as the pages say.
type engine struct {
	id, service, address, zone string
	slots, queue               int
	work                       time.Duration
	born                       int64
	// coldUntil is until when the engine is cold after a start. Meanwhile it crashes if it gets more than coldMost requests in a second,
	// 0 for any number.
	coldUntil time.Time
	coldMost  int
	coldAt    []time.Time
	store     *store
	journal   *journal

	server *http.Server
	places chan struct{}
	mu     sync.Mutex
	held   int
	state  string
	beats  int
}

// start opens the engine's address and registers it.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.places = make(chan struct{}, e.slots)
	e.born = time.Now().UnixMilli()
	e.beats = 0
	e.mu.Unlock()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.report("ready")
	return nil
}

// report writes the engine's entry and returns the revision.
func (e *engine) report(state string) uint64 {
	e.mu.Lock()
	e.state = state
	e.beats++
	beats, born := e.beats, e.born
	e.mu.Unlock()
	return e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "coldLeftMs": e.coldLeft().Milliseconds(), "sequence": beats, "born": born,
	})
}

// stop ends the engine at once: connections are closed.
func (e *engine) stop() { _ = e.server.Close() }

// isOverrun counts a request at a cold engine, and reports whether it is one too many.
func (e *engine) isOverrun(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.coldMost == 0 || !now.Before(e.coldUntil) {
		return false
	}
	e.coldAt = slices.DeleteFunc(e.coldAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	e.coldAt = append(e.coldAt, now)
	return len(e.coldAt) > e.coldMost
}

// enter takes a place in the engine, and reports whether there is one.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held >= e.slots+e.queue {
		return false
	}
	e.held++
	return true
}

// slotsOf returns the slots of the engine's current run.
func (e *engine) slotsOf() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.places
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
}

// ServeHTTP answers one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		e.serveHealth(w)
		return
	}
	if r.URL.Path == "/report" {
		answer(w, http.StatusOK, map[string]any{"queued": 0, "busy": 0, "freeMb": 18})
		return
	}
	if r.URL.Path == "/stage-free" {
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	a := arrival{at: time.Now(), id: r.Header.Get("X-Attempt-Id"), engine: e.id, service: e.service, via: r.Header.Get(headerVia)}
	w.Header().Set("X-Attempt-Id", a.id)
	w.Header().Set("X-Instance-Id", e.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.isOverrun(a.at) {
		e.journal.addArrival(a)
		go e.stop()
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/stage-run" {
		e.serveStage(w, r)
		return
	}
	if !e.enter() {
		e.journal.addArrival(a)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	places := e.slotsOf()
	select {
	case places <- struct{}{}:
	case <-r.Context().Done():
		e.journal.addArrival(a)
		return
	}
	defer func() { <-places }()
	a.ran = true
	e.journal.addArrival(a)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("%s did %s\n", e.id, a.id)
	w.Header().Set("X-Response-Seal", e.id+"."+a.id)
	w.WriteHeader(http.StatusOK)
	// A node that is gone needs no answer.
	_, _ = w.Write([]byte(body))
}
