package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["leaving"] = func(d *drill) (bool, error) { return leaving(d, true) }
	// The same end of engines that are still listed as ready, for comparison.
	cases["listed"] = func(d *drill) (bool, error) { return leaving(d, false) }
}

// sent is a request that was sent, with the whole body that its engine makes.
type sent struct {
	request
	node  string
	whole string
	got   reply
}

// enginesEach is the number of engines of each service, of which one leaves.
const enginesEach = 4

// leavingRoutes are the paths of the requests of the case.
var leavingRoutes = []struct{ name, method, prefix string }{
	{"unsafe", "POST", "/charge/"}, {"stream that may not be resumed", "POST", "/letter/"}, {"stream that may be resumed", "POST", "/draft/"},
}

// leaving ends two engines a little later than drainMs after one has reported draining and the entry of the other one was removed, unless
// they are to stay listed as ready. Both still send answers that have no length.
func leaving(d *drill, reports bool) (broken bool, err error) {
	const timeout = 15 * time.Second
	d.store.putConfig(7, []string{"caja44a", "redactor44a"},
		newRoute("/charge/", "unsafe", "caja44a", timeout, nil),
		newRoute("/letter/", "streaming", "redactor44a", timeout, route{"itlTargetMs": 800}),
		newRoute("/draft/", "streaming", "redactor44a", timeout, route{"itlTargetMs": 800, "resumable": true, "attempts": 2}),
	)
	var engines []*engine
	for i := range 2 * enginesEach {
		service := "caja44a"
		if i >= enginesEach {
			service = "redactor44a"
		}
		e, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), service, "-unframed")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	billing, writing := engines[0], engines[enginesEach]
	for _, s := range d.sendAll(nodes, 1, 200*time.Millisecond) {
		if s.got.status != 200 || !s.got.complete || s.got.body != s.whole {
			d.note("calm request %s %s: %v", s.id, s.path, s.got)
			return false, errMissing
		}
	}
	done := make(chan []*sent, 1)
	go func() { done <- d.sendAll(nodes, 8, 6*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	if reports {
		d.drain(billing)
		d.unlist(writing)
	}
	if d.trouble {
		time.Sleep(drainTime + time.Second)
		d.kill(billing)
		d.kill(writing)
	}
	short := 0
	for _, s := range <-done {
		if s.got.status/100 == 2 && s.got.complete && s.got.body != s.whole {
			short++
			d.note("BROKEN: %s %s at %s is complete to its client, with %d of %d bytes; its end: %q", s.id, s.path, s.node, len(s.got.body), len(s.whole), tail(s.got.body))
		}
	}
	d.note("%d successes with less than the engine's whole body", short)
	return short > 0, nil
}

func tail(s string) string { return s[max(0, len(s)-60):] }

// sendAll sends some requests of each kind to each node at the same time, whose answers take a time, and returns them with their
// answers.
func (d *drill) sendAll(nodes []*node, each int, took time.Duration) []*sent {
	var wg sync.WaitGroup
	var list []*sent
	for _, n := range nodes {
		for _, kind := range leavingRoutes {
			for range each {
				id := newID()
				s := &sent{request: request{
					method: kind.method, host: testHost, path: fmt.Sprintf("%s%d", kind.prefix, took.Milliseconds()), id: id, body: "{}",
					deadline: 14 * time.Second, within: 16 * time.Second,
				}, node: n.name}
				s.whole = strings.Join(rows(id), "")
				if kind.prefix != "/charge/" {
					s.whole = strings.Join(events(id, false, ""), "")
				}
				list = append(list, s)
				wg.Go(func() {
					c, err := dial(n.frontend)
					if err != nil {
						s.got = reply{err: err}
						return
					}
					defer c.close()
					d.note("client sends %s %s (%s) to %s", s.id, s.path, kind.name, n.name)
					s.got = c.exchange(s.request)
					d.note("client has for %s: %v", s.id, s.got)
				})
			}
		}
	}
	wg.Wait()
	return list
}
