package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cutInterval is the time between two cuts of the waiting watches, cutCount their number; the last one is at the moment at which
	// the store accepts that a server leaves.
	cutInterval = 5 * time.Second
	cutCount    = 5
	// leaveTime is how long the server goes on serving after it has left.
	leaveTime = 8 * time.Second
)

// playLeave plays the leaving of a server that does not report that it drains, while the store now and then cuts off the watches that
// are waiting.
func playLeave(b *bed) (kept bool, err error) {
	routes := []map[string]any{
		{"name": "r-look", "host": host, "pathPrefix": "/wuhu344/", "type": "safe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "wuno96b", "attempts": 2, "public": false, "sticky": false},
		{"name": "r-pay", "host": host, "pathPrefix": "/bobo563/", "type": "unsafe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "wuno96b", "attempts": 2, "public": false, "sticky": false},
	}
	services := []map[string]any{{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}}
	if err := b.config(7, routes, services); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var leftAt time.Time
	late, after := 0, 0
	latest := time.Duration(0)
	onArrival := func(s *server, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if s.id != "i-1" || leftAt.IsZero() {
			return
		}
		after++
		since := at.Sub(leftAt)
		latest = max(latest, since)
		if since > drainTime {
			late++
			b.record.add("%s reaches %s %.3f s after the store accepted that it has left", id, s.id, since.Seconds())
		}
	}
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		s := &server{id: id, service: "wuno96b", zone: []string{"maipo", "mapocho", "quilicura"}[i], work: answerAfter(15 * time.Millisecond), onArrival: onArrival}
		if err := b.addServer(s); err != nil {
			return false, err
		}
	}
	if err := b.startNodes(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := map[string]int{}
	for i := range 4 * len(b.nodes) {
		clients.Go(func() {
			c := &client{record: b.record, node: b.nodes[i%len(b.nodes)]}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				a := attempt{id: newAttemptID(), method: http.MethodGet, path: "/wuhu344/2f", deadline: time.Second}
				if i%2 == 1 {
					a.method, a.path = http.MethodPost, "/bobo563/2f"
				}
				out := c.send(a)
				what := "status " + strconv.Itoa(out.status)
				if out.err != nil {
					what = "no whole answer: " + out.err.Error()
				}
				mu.Lock()
				counts[what]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(contactTime)
	for i := range cutCount {
		time.Sleep(cutInterval)
		switch {
		case i == cutCount-1:
		case b.hasTrouble:
			b.record.add("the store cuts off the watches that are waiting")
			b.store.cutWatches()
		}
	}
	leaving := b.servers[0]
	mu.Lock()
	leftAt = leaving.leave(b.hasTrouble)
	mu.Unlock()
	b.record.add("the store accepts that %s has left; watches cut off: %t", leaving.id, b.hasTrouble)
	time.Sleep(leaveTime)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for what, n := range counts {
		b.record.add("requests with %s: %d", what, n)
	}
	b.record.summary("requests at the server after it had left %d, the last one %.3f s after that; later than %.1f s: %d", after, latest.Seconds(), drainTime.Seconds(), late)
	return late == 0, nil
}
