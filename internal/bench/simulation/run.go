package simulation

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// start is when every run begins.
var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// lookEvery is how often a line whose targets hold unknown results is looked at again.
const lookEvery = 200 * ms

// silence is how long a desk that is lost is waited for.
const silence = 900 * ms

// Config says what is run.
type Config struct {
	Deployment Deployment
	Pattern    Scenario
	Policy     Policy
	Seed       uint64
}

// world is one run.
type world struct {
	clock      clock
	rand       *rand.Rand
	deployment Deployment
	pattern    Scenario
	policy     Policy
	report     *Report
	requests   map[string]*request
	lines      map[lineKey]*line
	groups     map[uint64]*group
	lastGroup  uint64
	makers     map[string]*maker
	byService  map[string][]*maker
	readers    []*reader
	loads      map[loadKey]atReader
	turn       int
}

// line is the queue of one service at the desk that fills its calls; lives counts the desks so far.
type line struct {
	*batch.Scheduler
	service Service
	lives   int
	looks   bool
}

// line gives the queue that takes the groups of a node for a service.
func (w *world) line(service string, node int) *line {
	if w.policy == PerNode {
		return w.lines[lineKey{service, node}]
	}
	return w.lines[lineKey{service, 0}]
}

type lineKey struct {
	service string
	node    int
}

// Run plays a pattern.
func Run(cfg Config) Report {
	w := &world{
		clock: clock{now: start}, rand: rand.New(rand.NewPCG(cfg.Seed, 2)), deployment: cfg.Deployment, pattern: cfg.Pattern, policy: cfg.Policy,
		report: newReport(cfg), requests: map[string]*request{}, lines: map[lineKey]*line{}, groups: map[uint64]*group{},
		makers: map[string]*maker{}, byService: map[string][]*maker{}, loads: map[loadKey]atReader{},
	}
	w.build()
	for _, a := range cfg.Pattern.arrivals(cfg.Deployment, cfg.Seed) {
		w.clock.at(start.Add(a.at), func() { w.arrive(a) })
	}
	if cfg.Pattern.OwnerLossAt > 0 {
		w.clock.at(start.Add(cfg.Pattern.OwnerLossAt), w.lose)
	}
	w.clock.run()
	return w.report.done()
}

func (w *world) build() {
	for _, s := range w.deployment.Services {
		for i := range s.Targets {
			m := &maker{held: map[string]int64{}, Target: registry.Target{
				ID: s.Name + itoa(i+1), Service: s.Name, Address: s.Name + itoa(i+1) + ":1", State: registry.Ready,
				Datacentre: w.deployment.Datacentres[i%len(w.deployment.Datacentres)], Slots: i + 1,
			}}
			w.byService[s.Name] = append(w.byService[s.Name], m)
			w.makers[m.Address] = m
		}
		for node := range w.deployment.Nodes {
			l := &line{Scheduler: batch.NewScheduler(), service: s}
			l.SetTargets(start, w.targets(s.Name))
			w.lines[lineKey{s.Name, node}] = l
		}
	}
	for i := range w.deployment.Models.Targets {
		w.readers = append(w.readers, &reader{seen: map[string]time.Time{}, Target: registry.Target{
			ID: "m" + itoa(i), State: registry.Ready, Datacentre: w.deployment.Datacentres[i%len(w.deployment.Datacentres)],
		}})
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// targets lists the stage targets of a service.
func (w *world) targets(service string) []registry.Target {
	var list []registry.Target
	for _, m := range w.byService[service] {
		list = append(list, m.Target)
	}
	return list
}

func (w *world) datacentre(node int) string {
	return w.deployment.Datacentres[node%len(w.deployment.Datacentres)]
}

// lose has the desk of every service start anew at another node: what it knew is gone, its calls bring nothing, and
// the groups come back once their nodes have waited for it.
func (w *world) lose() {
	for _, s := range w.deployment.Services {
		l := w.lines[lineKey{s.Name, 0}]
		l.Scheduler = batch.NewScheduler()
		l.lives++
		l.SetTargets(w.clock.now, w.targets(s.Name))
	}
	ids := make([]uint64, 0, len(w.groups))
	for id, g := range w.groups {
		if w.policy != PerNode || g.request.node == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := w.groups[id]
		w.clock.after(silence, func() {
			if !g.over() {
				g.left, g.unfetched, g.fetched = g.Count, g.Count, make([]bool, g.Count)
				w.queue(g)
			}
		})
	}
}

func (w *world) terms(service string) route.BatchProfile { return w.line(service, 0).service.Batching }
