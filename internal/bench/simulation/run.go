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

// startTime is the virtual time at which every run begins.
var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// untrackedCheckInterval is how often a scheduler is checked again while its targets hold untracked results.
const untrackedCheckInterval = 200 * ms

// ownerTimeout is how long nodes wait for a lost dispatcher.
const ownerTimeout = 900 * ms

// Config configures a run.
type Config struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	Seed       uint64
	// WithoutReserve reserves no time for the waits of later stages, for comparisons.
	WithoutReserve bool
}

// sim is the state of one run.
type sim struct {
	clock            clock
	rand             *rand.Rand
	deployment       Deployment
	scenario         Scenario
	policy           Policy
	withoutReserve   bool
	report           *Report
	requests         map[string]*request
	schedulers       map[schedulerKey]*scheduler
	groups           map[uint64]*group
	lastGroupID      uint64
	stageTargets     map[string]*stageTarget
	targetsByService map[string][]*stageTarget
	modelTargets     []*modelTarget
	modelLoads       map[loadKey]modelLoad
	roundRobin       int
}

// scheduler schedules the pieces of one service at its dispatcher; generation counts the dispatcher's restarts.
type scheduler struct {
	*batch.Scheduler
	service        Service
	generation     int
	checkScheduled bool
}

// scheduler returns the scheduler for the groups of a node and a service.
func (s *sim) scheduler(service string, node int) *scheduler {
	if s.policy == PerNode {
		return s.schedulers[schedulerKey{service, node}]
	}
	return s.schedulers[schedulerKey{service, 0}]
}

type schedulerKey struct {
	service string
	node    int
}

// Run simulates a scenario.
func Run(cfg Config) Report {
	s := &sim{
		clock: clock{now: startTime}, rand: rand.New(rand.NewPCG(cfg.Seed, 2)), deployment: cfg.Deployment, scenario: cfg.Scenario, policy: cfg.Policy, withoutReserve: cfg.WithoutReserve,
		report: newReport(cfg), requests: map[string]*request{}, schedulers: map[schedulerKey]*scheduler{}, groups: map[uint64]*group{},
		stageTargets: map[string]*stageTarget{}, targetsByService: map[string][]*stageTarget{}, modelLoads: map[loadKey]modelLoad{},
	}
	s.build()
	for _, a := range cfg.Scenario.drawArrivals(cfg.Deployment, cfg.Seed) {
		s.clock.runAt(startTime.Add(a.at), func() { s.arrive(a) })
	}
	if cfg.Scenario.OwnerLossAt > 0 {
		s.clock.runAt(startTime.Add(cfg.Scenario.OwnerLossAt), s.loseOwner)
	}
	s.clock.run()
	return s.report.finish()
}

func (s *sim) build() {
	for _, service := range s.deployment.Services {
		for i := range service.Targets {
			t := &stageTarget{results: map[string]int64{}, Target: registry.Target{
				ID: service.Name + itoa(i+1), Service: service.Name, Address: service.Name + itoa(i+1) + ":1", State: registry.Ready,
				Datacentre: s.deployment.Datacentres[i%len(s.deployment.Datacentres)], Slots: i + 1,
			}}
			s.targetsByService[service.Name] = append(s.targetsByService[service.Name], t)
			s.stageTargets[t.Address] = t
		}
		for node := range s.deployment.Nodes {
			sched := &scheduler{Scheduler: batch.NewScheduler(), service: service}
			sched.SetTargets(startTime, s.targets(service.Name))
			s.schedulers[schedulerKey{service.Name, node}] = sched
		}
	}
	for i := range s.deployment.Models.Targets {
		s.modelTargets = append(s.modelTargets, &modelTarget{prefixUsedAt: map[string]time.Time{}, Target: registry.Target{
			ID: "m" + itoa(i), State: registry.Ready, Datacentre: s.deployment.Datacentres[i%len(s.deployment.Datacentres)],
		}})
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// targets returns the stage targets of a service.
func (s *sim) targets(service string) []registry.Target {
	var list []registry.Target
	for _, t := range s.targetsByService[service] {
		list = append(list, t.Target)
	}
	return list
}

func (s *sim) datacentre(node int) string {
	return s.deployment.Datacentres[node%len(s.deployment.Datacentres)]
}

// loseOwner restarts the dispatcher of every service at another node: its state is lost, its running calls return nothing, and
// the groups are queued again once their nodes have waited out ownerTimeout.
func (s *sim) loseOwner() {
	for _, service := range s.deployment.Services {
		sched := s.schedulers[schedulerKey{service.Name, 0}]
		sched.Scheduler = batch.NewScheduler()
		sched.generation++
		sched.SetTargets(s.clock.now, s.targets(service.Name))
	}
	ids := make([]uint64, 0, len(s.groups))
	for id, g := range s.groups {
		if s.policy != PerNode || g.request.node == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := s.groups[id]
		s.clock.runAfter(ownerTimeout, func() {
			if !g.ended() {
				g.remaining, g.unfetched, g.fetched = g.Count, g.Count, make([]bool, g.Count)
				s.enqueue(g)
			}
		})
	}
}

func (s *sim) profile(name string) route.BatchProfile { return s.scheduler(name, 0).service.Batching }
