package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a client and how it ended.
type request struct {
	at     time.Time
	id     string
	path   string
	via    string
	status int
	err    string
	took   time.Duration
	// body is what came of the answer's body.
	body string
}

// clients send requests to nodes, each on a new connection.
type clients struct {
	journal  *journal
	lastID   atomic.Int64
	deadline time.Duration
	running  sync.WaitGroup
}

// newID returns the ID of a client attempt.
func (c *clients) newID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), c.lastID.Add(1))
}

// send sends one request to a node and records it.
func (c *clients) send(n *node, method, host, path, body string, header http.Header) request {
	r := request{at: time.Now(), id: c.newID(), path: path, via: n.name}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	req.Header.Set(headerVia, n.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		r.status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.body = string(data)
	}
	if err != nil {
		r.err = err.Error()
	}
	r.took = time.Since(r.at)
	c.journal.addRequest(r)
	return r
}

// run sends requests at a rate to nodes that pick chooses, until the context ends.
func (c *clients) run(ctx context.Context, perSecond float64, pick func() *node, method, host, path, body string) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n := pick()
		if n == nil {
			continue
		}
		c.running.Go(func() { c.send(n, method, host, path, body, nil) })
	}
}

// entry is the platform's choice of nodes: it asks each one once a second whether it is ready, and takes it out after two misses.
type entry struct {
	nodes []*node
	mu    sync.Mutex
	miss  map[string]int
}

func newEntry(nodes []*node) *entry { return &entry{nodes: nodes, miss: map[string]int{}} }

// run asks the nodes until the context ends.
func (e *entry) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, n := range e.nodes {
			go func() {
				isReady := n.isReady()
				e.mu.Lock()
				defer e.mu.Unlock()
				if isReady {
					e.miss[n.name] = 0
					return
				}
				e.miss[n.name]++
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pick returns one of the nodes that are in rotation, and any if none is.
func (e *entry) pick() *node {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*node
	for _, n := range e.nodes {
		if e.miss[n.name] < 2 {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		list = e.nodes
	}
	return list[rand.N(len(list))]
}
