package route

import (
	"sort"
	"strings"
	"time"
)

// RetryPolicy determines whether a request may run more than once.
type RetryPolicy string

// The retry policies.
const (
	// Idempotent requests may run any number of times.
	Idempotent RetryPolicy = "safe"
	// AtMostOnce requests run at most once for each client attempt.
	AtMostOnce RetryPolicy = "once"
	// Streaming requests are answered with events; they run once unless the route allows a stream to be resumed.
	Streaming RetryPolicy = "stream"
)

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Split is never empty; its weights are above 0.
	Split []WeightedService
	// Timeout is the maximum time to the final response.
	Timeout time.Duration
	// LatencyObjective is the wanted time to the response, or to the first event of a stream.
	LatencyObjective time.Duration
	// MaxEventGap is the maximum time between two events of a stream.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of targets that one client attempt is sent to.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public routes require no API key.
	Public bool
	// CarriesPrompt marks requests to a model, which carry the parts of their prompt.
	CarriesPrompt bool
	// Resumable streams may be resumed at another target.
	Resumable bool
	Stages    []Stage
}

// WeightedService is one service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Stage is work that is done in pieces before the request itself runs.
type Stage struct {
	Service string
	// DependsOn lists the indexes of the stages whose results every piece needs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a target accepts from all callers together, 0 if unknown.
	MaxConnections int
	// ColdPeriod is the time for which a target stays cold after its start.
	ColdPeriod time.Duration
	// ColdRateLimit is the maximum number of requests per second to a cold target, 0 for no limit.
	ColdRateLimit float64
	// Slots is the number of requests that a model target runs concurrently, 0 for other services.
	Slots int
	// TokenCapacity is the memory of a model target in tokens, 0 for other services.
	TokenCapacity int
	// Batch is set for services that run stages.
	Batch BatchProfile
}

// BatchProfile describes the batch size, call time and result space of one target of a stage service.
type BatchProfile struct {
	// MaxSize is the maximum number of pieces in a batch call, 0 if the service runs no stage.
	MaxSize int
	// CallTime is the fixed time of a batch call, PieceTime the additional time of each piece in it.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultSpace is the space for results in bytes, ResultTTL the time for which results stay if they are not freed.
	ResultSpace int64
	ResultTTL   time.Duration
}

// CallDuration returns the time that a batch call of n pieces takes.
func (b BatchProfile) CallDuration(n int) time.Duration {
	return b.CallTime + time.Duration(n)*b.PieceTime
}

// Team is a group of callers that holds API keys.
type Team struct {
	Name string
	// Priority takes precedence over the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are maximum sizes in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout and IdleTimeout are the maximum times for the header of a request and between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operators' configuration; it is immutable.
type Table struct {
	Version     int64
	Limits      Limits
	services    map[string]Service
	apiKeys     map[string]Team
	requiresKey bool
	hosts       map[string][]Route
	routeCount  int
}

// Config is the content of a table.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// APIKeys maps each API key to its team; RequiresKey is set if requests need one.
	APIKeys     map[string]Team
	RequiresKey bool
}

// NewTable returns a table with the content of cfg.
func NewTable(cfg Config) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, apiKeys: cfg.APIKeys, requiresKey: cfg.RequiresKey,
		services:   make(map[string]Service, len(cfg.Services)),
		hosts:      map[string][]Route{},
		routeCount: len(cfg.Routes),
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

// Match returns the route of host with the longest prefix of path, or false if there is none.
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

// KeyState is what a table says of the API key of a request.
type KeyState string

const (
	// KeyAbsent means that the request carries no key.
	KeyAbsent KeyState = "none"
	// KeyHeld means that a team holds the key.
	KeyHeld KeyState = "held"
	// KeyUnknown means that no team holds the key.
	KeyUnknown KeyState = "unknown"
)

// KeyState returns the state of an API key, "" for no key.
func (t *Table) KeyState(key string) KeyState {
	if key == "" {
		return KeyAbsent
	}
	if _, ok := t.apiKeys[key]; !ok {
		return KeyUnknown
	}
	return KeyHeld
}

// Caller returns the team that a request of a route belongs to, which is the one that holds its API key, and false if the request is not
// allowed. A public route needs no key, but no route accepts one that no team holds.
func (t *Table) Caller(r Route, key string) (team Team, isAllowed bool) {
	if !t.requiresKey {
		return Team{}, true
	}
	if key == "" {
		return Team{}, r.Public
	}
	team, isAllowed = t.apiKeys[key]
	return team, isAllowed
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// PickService chooses a service of the split by weight; draw is uniform in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// IsRetryable reports whether a request of the route may run again.
func (r Route) IsRetryable() bool {
	return r.RetryPolicy == Idempotent || (r.RetryPolicy == Streaming && r.Resumable)
}

// DependentCounts returns for each stage the number of stages that need its results.
func DependentCounts(stages []Stage) []int {
	counts := make([]int, len(stages))
	for _, s := range stages {
		for _, i := range s.DependsOn {
			counts[i]++
		}
	}
	return counts
}

// FinalStages returns the indexes of the stages that no other stage depends on.
func (r Route) FinalStages() []int {
	var final []int
	for i, n := range DependentCounts(r.Stages) {
		if n == 0 {
			final = append(final, i)
		}
	}
	return final
}
