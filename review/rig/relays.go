package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["relays"] = relaysCase }

// grownBounds are the bounds on the sheets of the grown deployments.
var grownBounds = bounds{drainMS: 3000, configMS: 3000, graceS: 8, retryRatio: 0.2, retryExtra: 186}

const (
	// Machines of each zone, as on the sheets of the grown deployments: two large ones, and small ones.
	machinesPerZone = 8
	smallMbps       = 10
	// dark is how long the machines are without power.
	dark = 3500 * time.Millisecond
	// drainRate is what the clients send in a second.
	drainRate = 400
)

// relaysCase takes the power of five machines of a fleet for a while, the two large ones of one zone and one large one of each other, and
// lets an engine drain meanwhile. It checks that the engine gets nothing later from machines in touch.
func relaysCase(r *rig) error {
	r.zones = []string{"lisboa-a", "lisboa-b", "lisboa-c", "lisboa-d"}
	var off []*node
	for z, zone := range r.zones {
		for i := range machinesPerZone {
			mbps := float64(smallMbps)
			switch i {
			case 0:
				mbps = 200
			case 1:
				mbps = 100
			}
			n := r.addNode(zone, mbps, grownBounds)
			if i == 0 || z == 0 && i == 1 {
				off = append(off, n)
			}
		}
	}
	r.configure(1, []map[string]any{route("orden", "unsafe", "bookings", 1, 2500, nil)}, []map[string]any{service("bookings", 110)})
	// One engine is in the first zone, so that the nodes there send most of their requests to it.
	for _, z := range []int{0, 1, 2, 3, 1, 2, 3} {
		if _, err := r.addEngine("bookings", r.zones[z], 6, 24, 20*time.Millisecond); err != nil {
			return err
		}
	}
	if err := r.startNodes(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	r.clients.deadline = 2500 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, drainRate, in.pick, "POST", "app.example", "/orden/2f", "x")
	sleepUntil(ctx, start, 2*time.Second)
	down := map[string]bool{}
	if r.withTrouble {
		for _, n := range off {
			down[n.name] = true
			if err := n.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			r.note("%s has no power", n.name)
		}
	}
	time.Sleep(5 * time.Millisecond)
	leaving := r.engines[0]
	leaving.report("draining")
	acknowledged := time.Now()
	r.note("%s reports draining; the store has accepted it", leaving.id)
	sleepUntil(ctx, start, 2*time.Second+dark)
	if r.withTrouble {
		for _, n := range off {
			if err := n.signal(syscall.SIGKILL); err != nil {
				return err
			}
			<-n.ended
			if err := n.start(); err != nil {
				return err
			}
			r.note("%s starts again", n.name)
		}
	}
	sleepUntil(ctx, start, 10*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkDrain(r, leaving, acknowledged, down)
}

// checkDrain checks that an engine got nothing from machines in touch later than drainMs after its leaving was acknowledged.
func checkDrain(r *rig, leaving *engine, acknowledged time.Time, down map[string]bool) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := acknowledged.Add(grownBounds.drain())
	late := 0
	for _, a := range j.arrivals {
		if a.engine != leaving.id || a.at.Before(acknowledged) {
			continue
		}
		verdict := "in time"
		if a.at.After(limit) && !down[a.via] {
			late++
			verdict = "LATE"
		}
		fmt.Fprintf(r.record, "%8.3f  %s reaches %s from %s, %.3f s after the acknowledgement: %s\n", r.at(a.at), a.id, a.engine, a.via, a.at.Sub(acknowledged).Seconds(), verdict)
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reach an engine later than %s after its leaving was acknowledged", errBroken, late, grownBounds.drain())
	}
	return nil
}

// drain returns drainMs.
func (b bounds) drain() time.Duration { return time.Duration(b.drainMS) * time.Millisecond }
