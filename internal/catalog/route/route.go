package route

import (
	"sort"
	"strings"
	"time"
)

// RetryPolicy says whether a request may run more than once.
type RetryPolicy string

// The kinds of repeat.
const (
	// Idempotent requests may run any number of times.
	Idempotent RetryPolicy = "safe"
	// AtMostOnce requests run at most once for each client attempt.
	AtMostOnce RetryPolicy = "once"
	// Streaming requests answer with events; they run once unless the route lets a stream be resumed.
	Streaming RetryPolicy = "stream"
)

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Split is never empty; its weights are above 0.
	Split []WeightedService
	// Timeout is the longest time to a final answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a stream, is wanted.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// MaxAttempts is the number of targets that one client attempt may be sent to.
	MaxAttempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// CarriesPrompt marks requests to a model, which carry the parts of their prompt.
	CarriesPrompt bool
	// Resumable streams may go on at another target.
	Resumable bool
	Stages    []Stage
}

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Stage is work that is done in pieces before the request itself can run.
type Stage struct {
	Service string
	// DependsOn lists the stages, by their place, whose results every piece needs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of alike targets.
type Service struct {
	Name string
	// MaxConnections is how many a target accepts from all callers together, 0 if it is not known.
	MaxConnections int
	// ColdPeriod is how long a target stays cold after its start.
	ColdPeriod time.Duration
	// ColdRateLimit is how many requests a second a cold target bears, 0 for no bound.
	ColdRateLimit float64
	// Slots is how many requests a model target runs at once, 0 for other services.
	Slots int
	// TokenCapacity is the memory of a model target in tokens, 0 for other services.
	TokenCapacity int
	// Batch is set for the services that run stages.
	Batch BatchProfile
}

// BatchProfile is what one target of a stage service takes.
type BatchProfile struct {
	// MaxSize is the largest number of pieces in a call, 0 if the service runs no stage.
	MaxSize int
	// CallTime and Piece are the time of a call and of each piece in it.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultSpace is the space for results in bytes, Keep how long they stay if nobody frees them.
	ResultSpace int64
	ResultTTL   time.Duration
}

// CallDuration is how long a call of n pieces takes.
func (b BatchProfile) CallDuration(n int) time.Duration {
	return b.CallTime + time.Duration(n)*b.PieceTime
}

// Team is a tenant.
type Team struct {
	Name string
	// Priority goes before the priority of the route if Ranked is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and Body are in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout and Idle are the longest time for a request's header, and between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
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
	// APIKeys maps each key to its team; Keyed says whether requests need one.
	APIKeys     map[string]Team
	RequiresKey bool
}

// NewTable makes a table.
func NewTable(cfg Config) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, keys: cfg.APIKeys, keyed: cfg.RequiresKey,
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

// TeamByKey gives the team that holds a key; ok is false for a key that is not in force.
func (t *Table) TeamByKey(key string) (Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// RequiresKey tells whether requests on routes that are not public need a key.
func (t *Table) RequiresKey() bool { return t.keyed }

// Service gives a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RouteCount is the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// PickService chooses a service of the split; draw is uniform in [0, 1).
func (r Route) PickService(draw float64) string {
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

// IsRetryable tells whether a request of the route may run again.
func (r Route) IsRetryable() bool {
	return r.RetryPolicy == Idempotent || (r.RetryPolicy == Streaming && r.Resumable)
}

// DependentCounts gives for each stage the number of stages that need its results.
func DependentCounts(stages []Stage) []int {
	readers := make([]int, len(stages))
	for _, s := range stages {
		for _, a := range s.DependsOn {
			readers[a]++
		}
	}
	return readers
}

// FinalStages lists the stages, by their place, that no other stage follows.
func (r Route) FinalStages() []int {
	var last []int
	for i, n := range DependentCounts(r.Stages) {
		if n == 0 {
			last = append(last, i)
		}
	}
	return last
}
