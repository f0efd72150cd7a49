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

func init() { cases["spot"], cases["crash"] = spotCase, crashCase }

const (
	// notice is how long after its notice an engine is gone.
	notice = 2 * time.Second
	// streamRate is how many streams the clients ask for in a second.
	streamRate = 40
)

// streamEngine is an engine that is a process of its own.
type streamEngine struct {
	*engine
	process *exec.Cmd
}

// run starts the engine's process, and its entry says so.
func (e *streamEngine) run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	e.process = exec.Command(self, "engine", e.id, e.address)
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.process.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.born, e.beats = time.Now().UnixMilli(), 0
	e.mu.Unlock()
	e.report("ready")
	return nil
}

// kill ends the engine's process.
func (e *streamEngine) kill() error {
	if err := e.process.Process.Kill(); err != nil {
		return err
	}
	// The process was killed, which Wait reports as an error.
	_ = e.process.Wait()
	return nil
}

// startStreams starts six nodes and as many engines, and returns the engines.
func startStreams(r *rig) ([]*streamEngine, error) {
	for i := range 6 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	chat := route("chat", "streaming", "redactor", 1, 15000, map[string]any{"goalMs": 2300, "itlTargetMs": 800})
	r.configure(1, []map[string]any{chat}, []map[string]any{service("redactor", 360)})
	var list []*streamEngine
	for i := range 6 {
		e := &streamEngine{engine: &engine{
			id: fmt.Sprintf("i-%010x", rand.N(1<<40)), service: "redactor", zone: r.zones[i%3], address: fmt.Sprintf("%s%d:8743", r.base, 120+i), slots: 64,
			store: r.store, journal: r.journal,
		}}
		if err := e.run(); err != nil {
			return list, err
		}
		list = append(list, e)
	}
	r.clients.deadline = 15 * time.Second
	return list, r.startNodes()
}

func killAll(list []*streamEngine) {
	for _, e := range list {
		// An error means that it has ended already.
		_ = e.kill()
	}
}

// spotCase lets an engine report that it drains and kills it two seconds later, while it still sends streams that end with their
// connections. It checks that no stream that lacks events looks complete.
func spotCase(r *rig) error {
	engines, err := startStreams(r)
	defer func() { killAll(engines) }()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, streamRate, in.pick, "POST", "app.example", "/chat/2f", "x")
	sleepUntil(ctx, start, 4*time.Second)
	if r.withTrouble {
		leaving := engines[0]
		leaving.report("draining")
		r.note("%s reports draining", leaving.id)
		sleepUntil(ctx, start, 4*time.Second+notice)
		if err := leaving.kill(); err != nil {
			return err
		}
		r.note("%s is gone: its process is killed", leaving.id)
	}
	sleepUntil(ctx, start, 9*time.Second)
	cancel()
	r.clients.running.Wait()
	return checkStreams(r)
}

// away is how long a crashed engine is down.
const away = 500 * time.Millisecond

// crashCase kills an engine that is ready, which starts again under its ID. It checks the same.
func crashCase(r *rig) error {
	engines, err := startStreams(r)
	defer func() { killAll(engines) }()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := newEntry(r.nodes)
	go in.run(ctx)
	start := time.Now()
	go r.clients.run(ctx, streamRate, in.pick, "POST", "app.example", "/chat/2f", "x")
	sleepUntil(ctx, start, 6*time.Second)
	if r.withTrouble {
		if err := engines[0].kill(); err != nil {
			return err
		}
		r.note("%s crashes: its process is killed", engines[0].id)
		time.Sleep(away)
		if err := engines[0].run(); err != nil {
			return err
		}
		r.note("%s runs again under its id; its entry has the time of its start", engines[0].id)
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
