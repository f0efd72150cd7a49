package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

func init() { cases["spot"] = spotCase }

const (
	// notice is how long after its notice an engine is gone.
	notice = 2 * time.Second
	// streamRate is how many streams the clients ask for in a second.
	streamRate = 20
)

// spotCase lets an engine report that it drains and kills it two seconds later, while it still sends streams that end with their
// connections. It checks that no stream that lacks events looks complete.
func spotCase(r *rig) error {
	for i := range 6 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	chat := route("chat", "streaming", "redactor", 1, 15000, map[string]any{"goalMs": 2300, "itlTargetMs": 800})
	r.configure(1, []map[string]any{chat}, []map[string]any{service("redactor", 360)})
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var leaving *engine
	var process *exec.Cmd
	for i := range 6 {
		e := &engine{
			id: fmt.Sprintf("i-%010x", rand.N(1<<40)), service: "redactor", zone: r.zones[i%3], address: fmt.Sprintf("%s%d:8743", r.base, 120+i), slots: 64,
			born: time.Now().UnixMilli(), store: r.store, journal: r.journal,
		}
		p := exec.Command(self, "engine", e.id, e.address)
		p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := p.Start(); err != nil {
			return err
		}
		defer func() {
			_ = p.Process.Kill()
			_ = p.Wait()
		}()
		e.report("ready")
		if i == 0 {
			leaving, process = e, p
		}
	}
	if err := r.startNodes(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	r.clients.deadline = 15 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, streamRate, in.pick, "POST", "app.example", "/chat/2f", "x")
	sleepUntil(ctx, start, 4*time.Second)
	if r.withTrouble {
		leaving.report("draining")
		r.note("%s reports draining", leaving.id)
		sleepUntil(ctx, start, 4*time.Second+notice)
		if err := process.Process.Kill(); err != nil {
			return err
		}
		r.note("%s is gone: its process is killed", leaving.id)
	}
	sleepUntil(ctx, start, 9*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkStreams(r)
}

// checkStreams checks that each stream that ended as complete has all events.
func checkStreams(r *rig) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	short := 0
	for _, x := range j.requests {
		events, by := countEvents(x.body)
		verdict := "complete"
		switch {
		case x.status != 200:
			verdict = fmt.Sprintf("no stream: %s %s", strings.TrimSpace(x.body), x.err)
		case x.err != "":
			verdict = "broken off: " + x.err
		case events != streamEvents:
			short++
			verdict = "ENDED AS COMPLETE before its last event"
		}
		fmt.Fprintf(r.record, "%8.3f  %s sent to %s: %d, %d of %d events by %s after %.3f s: %s\n", r.at(x.at), x.id, x.via, x.status, events, streamEvents, by, x.took.Seconds(), verdict)
	}
	if short > 0 {
		return fmt.Errorf("%w: ORDER: %d streams ended as complete before their last event", errBroken, short)
	}
	return nil
}
