package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["added"] = added }

const (
	// longWait is how long a long prompt takes to its first event.
	longWait = 3 * time.Second
	// aloneTime is how long the added route is used when the first one is not any more.
	aloneTime = 8 * time.Second
	// minAdded is the number of requests on routes that were added later from which the rule holds.
	minAdded = 20
)

// added adds a route whose prompts are short to a service that also answers long ones.
func added(d *drill) (broken bool, err error) {
	services := []string{"redactor44a", "portal44a"}
	letters := newRoute("/letter/", "streaming", "redactor44a", 15*time.Second, route{"goalMs": 4000, "itlTargetMs": 800})
	chat := newRoute("/chat/", "streaming", "redactor44a", 6*time.Second, route{
		"goalMs": 500, "itlTargetMs": 250, "phases": []any{map[string]any{"service": "portal44a", "after": []int{}, "byteCount": 8000}},
	})
	d.store.putConfig(7, services, letters)
	for i, service := range []string{"redactor44a", "redactor44a", "redactor44a", "portal44a", "portal44a", "portal44a"} {
		if _, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), service); err != nil {
			return false, err
		}
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	wait := longWait
	if !d.trouble {
		wait = 100 * time.Millisecond
	}
	first := &tally{phase: "letters", sent: map[string]int{}, served: map[string]int{}, reasons: map[string]int{}}
	later := &tally{phase: "chat", sent: map[string]int{}, served: map[string]int{}, reasons: map[string]int{}}
	stopLetters, stop := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			d.repeat(first, nodes[i%len(nodes)].frontend, stopLetters, func(id string) request {
				return request{method: http.MethodPost, path: fmt.Sprintf("/letter/w%d/1000", wait.Milliseconds()), deadline: 14 * time.Second, within: 15 * time.Second, body: `{"letter":"` + id + `"}`}
			})
		})
	}
	time.Sleep(4 * (longWait + time.Second))
	d.store.putConfig(9, services, letters, chat)
	d.note("the store has accepted version 9: /chat/ is added")
	time.Sleep(contact + configApply)
	for i := range 6 {
		clients.Go(func() {
			d.repeat(later, nodes[i%len(nodes)].frontend, stop, func(id string) request {
				return request{
					method: http.MethodPost, path: "/chat/w100/500", deadline: 5 * time.Second, within: 6 * time.Second, body: `{"chat":"` + id + `"}`,
					header: map[string]string{"X-Segments": "1", "X-Segment-Key": id},
				}
			})
		})
	}
	time.Sleep(20 * time.Second)
	// What becomes of the added route without the first one is recorded, and not judged.
	close(stopLetters)
	time.Sleep(longWait + time.Second)
	later.enter("chat alone")
	time.Sleep(aloneTime)
	later.enter("over")
	close(stop)
	clients.Wait()
	d.note("chat alone: sent %d, served %d", later.sent["chat alone"], later.served["chat alone"])
	for name, t := range map[string]*tally{"letters": first, "chat": later} {
		d.note("%s: sent %d, served %d", name, t.sent[name], t.served[name])
		for reason, count := range t.reasons {
			d.note("%s: not served %d times: %s", name, count, reason)
		}
	}
	if 4*first.served["letters"] < 3*first.sent["letters"] || later.sent["chat"] < minAdded {
		return false, errMissing
	}
	return 4*later.served["chat"]*first.sent["letters"] < first.served["letters"]*later.sent["chat"], nil
}

// repeat sends requests one after the other until stop is closed.
func (d *drill) repeat(t *tally, frontend string, stop <-chan struct{}, next func(id string) request) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := newID()
		r := next(id)
		r.id, r.host = id, testHost
		t.mu.Lock()
		phase := t.phase
		t.mu.Unlock()
		c, err := dial(frontend)
		if err != nil {
			continue
		}
		a := c.exchange(r)
		c.close()
		d.note("client has for %s %s: %v", r.id, r.path, a)
		t.mu.Lock()
		t.sent[phase]++
		if a.status == http.StatusOK && a.complete {
			t.served[phase]++
		} else {
			t.reasons[fmt.Sprintf("%d %.40q", a.status, a.body)]++
		}
		t.mu.Unlock()
	}
}
