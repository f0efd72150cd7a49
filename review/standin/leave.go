package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cutInterval is the time between two cuts of the waiting watches.
	cutInterval = 5 * time.Second
	// cutsBefore cuts come before the first server leaves; each of the leaveCount servers leaves at the moment of a further one.
	cutsBefore = 4
	leaveCount = 4
)

// playLeave plays the leaving of servers that do not report that they drain, while the store now and then cuts off the watches that
// are waiting. The servers go on serving to the end.
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
	leftAt := map[string]time.Time{}
	after, late, outOfTouch := 0, 0, 0
	latest := time.Duration(0)
	onArrival := func(s *server, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		left, hasLeft := leftAt[s.id]
		if !hasLeft {
			return
		}
		after++
		since := at.Sub(left)
		latest = max(latest, since)
		if since > drainTime {
			late++
			if since <= contactTime {
				outOfTouch++
			}
			b.record.add("%s reaches %s %.3f s after the store accepted that it has left", id, s.id, since.Seconds())
		}
	}
	for i, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		s := &server{id: id, service: "wuno96b", zone: zones[i], work: answerAfter(15 * time.Millisecond), onArrival: onArrival}
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
	for i := range cutsBefore + leaveCount {
		time.Sleep(cutInterval)
		if i < cutsBefore {
			if b.hasTrouble {
				b.record.add("the store cuts off the watches that are waiting")
				b.store.cutWatches()
			}
			continue
		}
		leaving := b.servers[i-cutsBefore]
		mu.Lock()
		leftAt[leaving.id] = leaving.leave(b.hasTrouble)
		mu.Unlock()
		b.record.add("the store accepts that %s has left; watches cut off: %t", leaving.id, b.hasTrouble)
	}
	time.Sleep(cutInterval)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for what, n := range counts {
		b.record.add("requests with %s: %d", what, n)
	}
	b.record.summary("requests at servers that had left: %d, the last one %.3f s after that; later than %.1f s: %d, %d of them in the %.1f s after a cut",
		after, latest.Seconds(), drainTime.Seconds(), late, outOfTouch, contactTime.Seconds())
	return late == 0, nil
}
