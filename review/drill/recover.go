package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["recover"] = recovers }

const (
	recoverEngines = 9
	recoverClients = 24
	streamTime     = 9 * time.Second
	// crashes of two engines each come crashGap apart; the engines are down for crashTime.
	crashes   = 12
	crashGap  = 1200 * time.Millisecond
	crashTime = 2 * time.Second
	// downTime is how long the processes of the system are gone in the final fault.
	downTime = 1100 * time.Millisecond
	recovery = 12 * time.Second
)

// tally counts requests and those that were served, by the phase of the play in which they were sent.
type tally struct {
	mu           sync.Mutex
	phase        string
	sent, served map[string]int
	reasons      map[string]int
}

func (t *tally) enter(phase string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = phase
}

// recovers crashes engines, two at a time, and kills all nodes at the end. It asks whether requests are served once the nodes are back.
func recovers(d *drill) (broken bool, err error) {
	services := []string{"redactor44a"}
	letters := newRoute("/letter/", "streaming", "redactor44a", 15*time.Second, route{"itlTargetMs": 800, "sticky": true})
	d.store.putConfig(7, services, letters)
	var engines []*engine
	for i := range recoverEngines {
		e, err := d.startEngine(i, fmt.Sprintf("i-7f3a91c%d", i), "redactor44a")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	nodes, err := d.startNodes(3)
	if err != nil {
		return false, err
	}
	t := &tally{phase: "calm", sent: map[string]int{}, served: map[string]int{}, reasons: map[string]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range recoverClients {
		clients.Go(func() { d.sendLetters(t, nodes[i%len(nodes)].frontend, stop) })
	}
	time.Sleep(2*streamTime + time.Second)
	if d.trouble {
		if os.Getenv("TROUBLE") != "final" {
			t.enter("crashes")
			if err := d.crashInTurn(engines); err != nil {
				return false, err
			}
		}
		t.enter("final fault")
		d.store.putConfig(9, services, letters)
		d.note("the store has accepted version 9")
		if err := d.killNodes(nodes); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	t.enter("recovered")
	time.Sleep(10 * time.Second)
	t.enter("over")
	close(stop)
	clients.Wait()
	for _, phase := range []string{"calm", "crashes", "final fault", "recovered"} {
		d.note("sent in phase %q: %d, served %d", phase, t.sent[phase], t.served[phase])
	}
	for reason, count := range t.reasons {
		d.note("not served after the recovery: %d times %s", count, reason)
	}
	if 4*t.served["calm"] < t.sent["calm"] || t.sent["recovered"] == 0 {
		return false, errMissing
	}
	return 4*t.served["recovered"] < t.sent["recovered"], nil
}

// crashInTurn kills two engines at a time, which start again under their IDs.
func (d *drill) crashInTurn(engines []*engine) error {
	var starts sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range crashes {
		for k := range 2 {
			e := engines[(2*i+k)%len(engines)]
			d.kill(e)
			starts.Go(func() {
				time.Sleep(crashTime)
				if err := d.launch(e); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failed = err
				}
			})
		}
		time.Sleep(crashGap)
	}
	starts.Wait()
	d.note("all engines are healthy from now on")
	return failed
}

// killNodes kills the processes of all nodes and starts them again.
func (d *drill) killNodes(nodes []*node) error {
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
	}
	d.note("the processes of all nodes are killed")
	time.Sleep(downTime)
	for i, n := range nodes {
		again, err := d.startNode(i, len(nodes))
		if err != nil {
			return err
		}
		*n = *again
	}
	for _, n := range nodes {
		if err := d.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// sendLetters sends streams one after the other until stop is closed. All prompts begin with the same part; the last one is the
// request's own.
func (d *drill) sendLetters(t *tally, frontend string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
		}
		id := newID()
		r := request{
			method: http.MethodPost, host: testHost, path: fmt.Sprintf("/letter/%d", streamTime.Milliseconds()), id: id, body: `{"letter":"` + id + `"}`,
			deadline: 14 * time.Second, within: 16 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prefix-Hash": "5c1e07a2:800," + id + ":250"},
		}
		t.mu.Lock()
		phase := t.phase
		t.sent[phase]++
		t.mu.Unlock()
		c, err := dial(frontend)
		if err != nil {
			continue
		}
		a := c.exchange(r)
		c.close()
		d.note("%s: client has for %s: %v", phase, id, a)
		t.mu.Lock()
		if a.status == http.StatusOK && a.complete {
			t.served[phase]++
		} else if phase == "recovered" {
			t.reasons[fmt.Sprintf("%d %q", a.status, a.body)]++
		}
		t.mu.Unlock()
	}
}
