package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cold"] = coldCase }

const (
	// Figures of a model service on the sheets: how long its engines are cold after a start, and what they tolerate then.
	coldTime    = 3 * time.Second
	coldPerS    = 8.8
	coldOverrun = 1.5
	coldSlack   = 5
	// coldRate is how many requests the clients send in a second.
	coldRate = 240
	// coldCrash is the number of requests in a second beyond which the cold engine crashes, well above what it tolerates and one and a half
	// times what the rule allows.
	coldCrash = 27
	// outage is how long the store is down, crashed how long the engine is.
	outage  = 4500 * time.Millisecond
	crashed = 700 * time.Millisecond
)

// coldCase lets an engine crash and start again under its ID, cold, and with trouble the store is down meanwhile. It checks what the cold
// engine gets in a second.
func coldCase(r *rig) error {
	for i := range 6 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	s := service("redactor", 360)
	s["coldS"], s["coldPerS"] = coldTime.Seconds(), coldPerS
	r.configure(1, []map[string]any{route("carta", "unsafe", "redactor", 1, 1000, nil)}, []map[string]any{s})
	for i := range 6 {
		if _, err := r.addEngine("redactor", r.zones[i%3], 64, 64, 40*time.Millisecond); err != nil {
			return err
		}
	}
	if err := r.startNodes(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, e := range r.engines {
		go e.beat(ctx)
	}
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, coldRate, in.pick, "POST", "app.example", "/carta/2f", "x")
	sleepUntil(ctx, start, 3*time.Second)
	if r.withTrouble {
		r.store.setDown(true)
		r.note("the store answers 503 to all")
	}
	time.Sleep(300 * time.Millisecond)
	e := r.engines[0]
	e.stop()
	r.note("%s crashes", e.id)
	time.Sleep(crashed)
	e.setCold(coldTime, coldCrash)
	if err := e.start(); err != nil {
		return err
	}
	from := time.Now()
	r.note("%s runs again under its id, cold for %s; its health responses say so", e.id, coldTime)
	sleepUntil(ctx, start, 3*time.Second+outage)
	r.store.setDown(false)
	sleepUntil(ctx, start, 10*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkCold(r, e, from)
}

// coldLeft returns how much longer the engine is cold.
func (e *engine) coldLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.coldUntil))
}

// setCold makes the engine cold for a time, in which it crashes if it gets more than some requests in a second.
func (e *engine) setCold(d time.Duration, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil, e.coldMost, e.coldAt = time.Now().Add(d), most, nil
}

// serveHealth answers a question for the engine's health.
func (e *engine) serveHealth(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", e.id)
	if left := e.coldLeft(); left > 0 {
		w.Header().Set("X-Cold-Ms", fmt.Sprint(left.Milliseconds()))
	}
	w.WriteHeader(http.StatusOK)
}

// checkCold checks what an engine got in any second while it was cold.
func checkCold(r *rig, e *engine, from time.Time) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := coldPerS*coldOverrun + coldSlack
	until := from.Add(coldTime)
	sent := map[string]request{}
	for _, x := range j.requests {
		sent[x.id] = x
	}
	var cold []arrival
	for _, a := range j.arrivals {
		if a.engine == e.id && !a.at.Before(from) && a.at.Before(until) {
			cold = append(cold, a)
			fmt.Fprintf(r.record, "%8.3f  %s (sent to %s at %.3f) reaches %s, cold for %.3f s more\n", r.at(a.at), a.id, a.via, r.at(sent[a.id].at), a.engine, until.Sub(a.at).Seconds())
		}
	}
	for _, a := range j.arrivals {
		if x := sent[a.id]; a.engine == e.id && a.at.After(from) && x.status != http.StatusOK {
			fmt.Fprintf(r.record, "%8.3f  %s reached the engine at %.3f and ended with %d %s after %.3f s\n", r.at(x.at.Add(x.took)), a.id, r.at(a.at), x.status, x.err, x.took.Seconds())
		}
	}
	worst := 0
	var at time.Time
	for _, first := range cold {
		// Counted are requests that were sent and arrived inside that second.
		n := 0
		for _, a := range cold {
			if !sent[a.id].at.Before(first.at) && a.at.Before(first.at.Add(time.Second)) {
				n++
			}
		}
		if n > worst {
			worst, at = n, first.at
		}
	}
	text := fmt.Sprintf("FAILBACK: a cold engine gets %d requests in the second from %.3f, allowed are %.1f", worst, r.at(at), limit)
	if float64(worst) > limit {
		return fmt.Errorf("%w: %s", errBroken, text)
	}
	r.note("%s", text)
	return nil
}
