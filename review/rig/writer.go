package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["writer"] = writerCase }

const (
	// heartbeat is how often an engine writes its entry.
	heartbeat = 1200 * time.Millisecond
	// chargeRate is how many charges the clients send in a second.
	chargeRate = 100
)

// writerCase lets another writer put an entry with missing fields in the place of an engine's, until the engine writes its own again. The
// entry names another service. The case checks that no request is run by a service that its route does not name.
func writerCase(r *rig) error {
	for i := range 6 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	routes := []map[string]any{route("cobro", "unsafe", "caja-socios", 1, 1000, nil), route("portal", "safe", "portal-familias", 2, 1000, nil)}
	r.configure(1, routes, []map[string]any{service("caja-socios", 96), service("portal-familias", 360)})
	for i := range 6 {
		name := []string{"caja-socios", "portal-familias"}[i/3]
		if _, err := r.addEngine(name, r.zones[i%3], 6, 24, 30*time.Millisecond); err != nil {
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
	go r.clients.run(ctx, chargeRate, in.pick, "POST", "app.example", "/cobro/2f", "x")
	go r.clients.run(ctx, chargeRate/3, in.pick, "GET", "app.example", "/portal/2f", "")
	// The engine has just written its entry, and will do so again at its next heartbeat.
	sleepUntil(ctx, start, 2*heartbeat+50*time.Millisecond)
	if r.withTrouble {
		e := r.engines[3]
		odd := map[string]any{"service": "caja-socios", "address": e.address, "zone": e.zone, "state": "ready"}
		r.store.put("servers", e.id, odd)
		r.note("another writer puts servers/%s, an engine of %s: %v; version, slots, coldLeftMs, sequence and born are missing", e.id, e.service, odd)
	}
	sleepUntil(ctx, start, 6*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkRoute(r, map[string]string{"/cobro/2f": "caja-socios", "/portal/2f": "portal-familias"})
}

// beat writes the engine's entry at each heartbeat until the context ends.
func (e *engine) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.report(e.lastState())
	}
}

func (e *engine) lastState() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// checkRoute checks that each request was run by the service of its route.
func checkRoute(r *rig, services map[string]string) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	sent := map[string]request{}
	for _, x := range j.requests {
		sent[x.id] = x
	}
	foreign := 0
	for _, a := range j.arrivals {
		x := sent[a.id]
		verdict := "its own service"
		if want := services[x.path]; a.ran && a.service != want {
			foreign++
			verdict = fmt.Sprintf("FOREIGN, the route names %s; the client got %d", want, x.status)
		}
		fmt.Fprintf(r.record, "%8.3f  %s (%s, sent to %s at %.3f) reaches %s of %s, ran %t: %s\n", r.at(a.at), a.id, x.path, a.via, r.at(x.at), a.engine, a.service, a.ran, verdict)
	}
	if foreign > 0 {
		return fmt.Errorf("%w: ROUTE: %d requests were run by a service that no configuration names for them", errBroken, foreign)
	}
	return nil
}
