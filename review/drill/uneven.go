package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["uneven"] = uneven }

// unevenStreams is the number of streams that are sent to each node.
const unevenStreams = 4

// lossLimit is how many requests from kept connections may be passed on to a sound engine and end without an answer.
const lossLimit = 3

// uneven lets sound engines send streams whose IDs rise by one at first, and by more once an event holds several tokens.
func uneven(d *drill) (broken bool, err error) {
	const timeout = 15 * time.Second
	d.store.putConfig(7, []string{"caja44a", "redactor44a"},
		newRoute("/status/", "safe", "caja44a", timeout, nil),
		newRoute("/letter/", "streaming", "redactor44a", timeout, route{"itlTargetMs": 800}),
	)
	var flags []string
	if d.trouble {
		flags = []string{"-uneven"}
	}
	for i, service := range []string{"caja44a", "redactor44a", "redactor44a"} {
		if _, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), service, flags...); err != nil {
			return false, err
		}
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, calm := 0, 0
	for _, n := range nodes {
		for range unevenStreams {
			wg.Go(func() {
				c, err := dial(n.frontend)
				if err != nil {
					return
				}
				defer c.close()
				first := c.exchange(request{method: "GET", host: testHost, path: "/status/20", id: newID(), deadline: 5 * time.Second, within: 6 * time.Second})
				id := newID()
				whole := strings.Join(events(id, d.trouble, ""), "")
				d.note("client sends %s /letter/1000 on a kept connection to %s", id, n.name)
				got := c.exchange(request{method: "POST", host: testHost, path: "/letter/1000", id: id, body: "{}", deadline: 14 * time.Second, within: 16 * time.Second})
				d.note("client has for %s: %v; its end: %q", id, got, tail(got.body))
				mu.Lock()
				defer mu.Unlock()
				if first.status == 200 && first.complete {
					calm++
				}
				if !got.complete || got.body != whole {
					lost++
				}
			})
		}
	}
	wg.Wait()
	// The engines report what became of their work.
	time.Sleep(500 * time.Millisecond)
	if calm != len(nodes)*unevenStreams {
		return false, errMissing
	}
	d.note("%d of %d streams of sound engines ended early, their connections closed", lost, len(nodes)*unevenStreams)
	return lost > lossLimit, nil
}
