// Command rig plays the cases of the third review: it starts nodes as processes on loopback addresses, with stand-ins of the platform's
// store, of engines and of clients, and checks one rule by what clients and engines see.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// errBroken is returned by a case whose rule was broken; any other error means that the case could not run.
var errBroken = errors.New("the rule was broken")

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is the deployment of one case.
type rig struct {
	base    string
	dir     string
	zones   []string
	store   *store
	nodes   []*node
	engines []*engine
	journal *journal
	clients *clients
	record  *os.File
	began   time.Time
	// withTrouble is unset for a run without the disruption.
	withTrouble bool
}

// newRig returns a deployment with a store at loopback addresses of its own.
func newRig(record string, zones ...string) (*rig, error) {
	r := &rig{zones: zones, journal: &journal{}, began: time.Now(), withTrouble: os.Getenv("TROUBLE") != "0"}
	r.clients = &clients{journal: r.journal, deadline: time.Second}
	r.base = fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250))
	var err error
	if r.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, err
	}
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	r.store, err = newStore(r.base + "1:8624")
	return r, err
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the beginning.
func (r *rig) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// addNode adds a node that is not started yet.
func (r *rig) addNode(zone string, linkMbps float64, b bounds) *node {
	i := len(r.nodes)
	n := &node{
		name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s%d", r.base, 10+i), linkMbps: linkMbps, store: r.store.address,
		zones: r.zones, bounds: b, dir: r.dir,
	}
	r.nodes = append(r.nodes, n)
	return n
}

// addEngine starts an engine.
func (r *rig) addEngine(service, zone string, slots, queue int, work time.Duration) (*engine, error) {
	i := len(r.engines)
	e := &engine{
		id: fmt.Sprintf("i-%010x", rand.N(1<<40)), service: service, zone: zone, address: fmt.Sprintf("%s%d:8743", r.base, 120+i), slots: slots, queue: queue, work: work,
		store: r.store, journal: r.journal,
	}
	r.engines = append(r.engines, e)
	return e, e.start()
}

// startNodes starts all nodes and waits until they are ready.
func (r *rig) startNodes() error {
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return awaitReady(r.nodes, 20*time.Second)
}

// close ends all that the case started.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.stop()
	}
	for _, e := range r.engines {
		e.stop()
	}
	r.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
	_ = r.record.Close()
}

// route returns a route of the configuration.
func route(name, kind, service string, attempts, timeoutMS int, more map[string]any) map[string]any {
	m := map[string]any{
		"name": name, "host": "app.example", "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": timeoutMS, "goalMs": 100, "priority": 2, "service": service,
		"attempts": attempts, "phases": []any{}, "public": true, "sticky": false, "resumable": false, "itlTargetMs": 0,
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// service returns a plain service of the configuration.
func service(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": maxConns, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
}

// configure writes a configuration and returns when the store had it.
func (r *rig) configure(version int, routes, services []map[string]any) time.Time {
	r.store.put("config", "main", map[string]any{
		"version": version, "routeList": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return time.Now()
}

// sleepUntil waits until a time after the beginning of the traffic.
func sleepUntil(ctx context.Context, start time.Time, after time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(start.Add(after))):
	}
}

var cases = map[string]func(r *rig) error{}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		os.Exit(serveStreams(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*rig) error, record string) int {
	if abs, err := filepath.Abs(record); err == nil {
		record = abs
	}
	r, err := newRig(record, "maipo", "mapocho", "quilicura")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	switch err := run(r); {
	case err == nil:
		r.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("%v", err)
		fmt.Println(err)
		return exitBroken
	default:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
}
