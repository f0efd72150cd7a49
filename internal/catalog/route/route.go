package route

import (
	"sort"
	"strings"
	"time"
)

// Repeat says whether a request may run more than once.
type Repeat string

// The kinds of repeat.
const (
	// Safe requests may run any number of times.
	Safe Repeat = "safe"
	// Once requests run at most once for each client attempt.
	Once Repeat = "once"
	// Stream requests answer with events; they run once unless the route lets a stream be resumed.
	Stream Repeat = "stream"
)

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Split is never empty; its weights are above 0.
	Split []Share
	// Timeout is the longest time to a final answer.
	Timeout time.Duration
	// Aim is the time within which an answer, or the first event of a stream, is wanted.
	Aim time.Duration
	// Pause is the longest pause between two events of a stream.
	Pause time.Duration
	// Attempts is the number of targets that one client attempt may be sent to.
	Attempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Prompt marks requests to a model, which carry the parts of their prompt.
	Prompt bool
	// Resumable streams may go on at another target.
	Resumable bool
	Stages    []Stage
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that is done in pieces before the request itself can run.
type Stage struct {
	Service string
	// After lists the stages, by their place, whose results every piece needs.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Service is a group of alike targets.
type Service struct {
	Name string
	// Connections is how many a target accepts from all callers together, 0 if it is not known.
	Connections int
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold target bears, 0 for no bound.
	ColdRate float64
	// Slots is how many requests a model target runs at once, 0 for other services.
	Slots int
	// Tokens is the memory of a model target in tokens, 0 for other services.
	Tokens int
	// Batch is set for the services that run stages.
	Batch Batch
}

// Batch is what one target of a stage service takes.
type Batch struct {
	// Size is the largest number of pieces in a call, 0 if the service runs no stage.
	Size int
	// Call and Piece are the time of a call and of each piece in it.
	Call  time.Duration
	Piece time.Duration
	// Room is the space for results in bytes, Keep how long they stay if nobody frees them.
	Room int64
	Keep time.Duration
}

// Took is how long a call of n pieces takes.
func (b Batch) Took(n int) time.Duration { return b.Call + time.Duration(n)*b.Piece }

// Team is a tenant.
type Team struct {
	Name string
	// Priority goes before the priority of the route if Ranked is set.
	Priority int
	Ranked   bool
}

// Limits bound what a caller may send.
type Limits struct {
	// Header and Body are in bytes.
	Header int
	Body   int
	// HeaderWait and Idle are the longest time for a request's header, and between two requests.
	HeaderWait time.Duration
	Idle       time.Duration
}

// Table is one version of the operators' configuration; it is never changed once it is made.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	keys     map[string]Team
	keyed    bool
	hosts    map[string][]Route
	routes   int
}

// Config is what a table is made of.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps each key to its team; Keyed says whether requests need one.
	Keys  map[string]Team
	Keyed bool
}

// NewTable makes a table.
func NewTable(cfg Config) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, keys: cfg.Keys, keyed: cfg.Keyed,
		services: make(map[string]Service, len(cfg.Services)),
		hosts:    map[string][]Route{},
		routes:   len(cfg.Routes),
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	for _, r := range cfg.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match gives the route of a host with the longest prefix of path.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Team gives the team that holds a key; ok is false for a key that is not in force.
func (t *Table) Team(key string) (Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Keyed tells whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool { return t.keyed }

// Service gives a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Routes is the number of routes.
func (t *Table) Routes() int { return t.routes }

// Pick chooses a service of the split; draw is uniform in [0, 1).
func (r Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Repeatable tells whether a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Repeat == Safe || (r.Repeat == Stream && r.Resumable)
}

// Readers gives for each stage the number of stages that need its results.
func Readers(stages []Stage) []int {
	readers := make([]int, len(stages))
	for _, s := range stages {
		for _, a := range s.After {
			readers[a]++
		}
	}
	return readers
}

// Last lists the stages, by their place, that no other stage follows.
func (r Route) Last() []int {
	var last []int
	for i, n := range Readers(r.Stages) {
		if n == 0 {
			last = append(last, i)
		}
	}
	return last
}
