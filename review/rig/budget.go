package main

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"
)

func init() { cases["budget"] = budgetCase }

const (
	budgetWindow = 10 * time.Second
	// overloadRate is what the clients send in a second, far more than the engines of the service can take.
	overloadRate = 15
)

// budgetCase kills all processes of a fleet once while a service is overloaded, and checks the budget of repeats.
func budgetCase(r *rig) error {
	for i := range 6 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	r.configure(1, []map[string]any{route("estado", "safe", "caja", 2, 1000, nil)}, []map[string]any{service("caja", 96)})
	for i := range 2 {
		if _, err := r.addEngine("caja", r.zones[i], 1, 2, 600*time.Millisecond); err != nil {
			return err
		}
	}
	if err := r.startNodes(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, overloadRate, in.pick, "GET", "app.example", "/estado/2f", "")
	sleepUntil(ctx, start, 5*time.Second)
	if r.withTrouble {
		for _, n := range r.nodes {
			if err := n.signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
		r.note("all processes are killed")
		for _, n := range r.nodes {
			<-n.ended
		}
		time.Sleep(700 * time.Millisecond)
		if err := r.startNodes(); err != nil {
			return err
		}
		r.note("all processes run again")
	}
	sleepUntil(ctx, start, 16*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkBudget(r, "caja", smallBounds)
}

// checkBudget checks the arrivals beyond the first of each request in all windows.
func checkBudget(r *rig, service string, b bounds) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	sort.Slice(j.arrivals, func(a, b int) bool { return j.arrivals[a].at.Before(j.arrivals[b].at) })
	sort.Slice(j.requests, func(a, b int) bool { return j.requests[a].at.Before(j.requests[b].at) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range j.arrivals {
		if a.service != service {
			continue
		}
		kind := "first"
		if seen[a.id] {
			kind = "again"
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
		fmt.Fprintf(r.record, "%8.3f  %s reaches %s, ran %t, sent to %s: %s\n", r.at(a.at), a.id, a.engine, a.ran, a.via, kind)
	}
	for _, x := range j.requests {
		fmt.Fprintf(r.record, "%8.3f  %s sent to %s, ended with %d after %.3f s %s\n", r.at(x.at), x.id, x.via, x.status, x.took.Seconds(), x.err)
	}
	requestsIn := func(from time.Time) int {
		n := 0
		for _, x := range j.requests {
			if !x.at.Before(from) && x.at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstAllowed := 0, 0.0
	var worstAt time.Time
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		requests := max(requestsIn(from), requestsIn(from.Add(-budgetWindow)), requestsIn(from.Add(-budgetWindow/2)))
		allowed := b.retryRatio*float64(requests) + b.retryExtra
		if float64(n)-allowed > float64(worst)-worstAllowed || worst == 0 {
			worst, worstAllowed, worstAt = n, allowed, from
		}
	}
	text := fmt.Sprintf("BUDGET: %d arrivals beyond the first of each request in the 10 s from %.3f, allowed are %.1f", worst, r.at(worstAt), worstAllowed)
	if float64(worst) > worstAllowed {
		return fmt.Errorf("%w: %s", errBroken, text)
	}
	r.note("%s", text)
	return nil
}
