package pool

import (
	"net"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// Kind is the object kind of a pool.
const Kind = "pool"

// Type is the type of a pool's targets.
type Type string

// The types of a pool.
const (
	Engine  Type = "engine"
	Service Type = "service"
)

const (
	maxTargets = 2000
	maxLimit   = 10000
)

// State determines whether a target takes new work, as set by operators.
type State string

// The states of a target.
const (
	InService    State = "in"
	OutOfService State = "out"
)

// Target is one back end of a pool.
type Target struct {
	Name       string `json:"name" toml:"name"`
	Address    string `json:"address" toml:"address"`
	Datacentre string `json:"datacentre" toml:"datacentre"`
	VM         string `json:"vm,omitempty" toml:"vm,omitempty"`
	State      State  `json:"state,omitempty" toml:"state,omitempty"`
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Name string `json:"name" toml:"name"`
	Type Type   `json:"type" toml:"type"`
	// ColdLimit is the maximum number of concurrent requests of a cold target.
	ColdLimit int `json:"cold" toml:"cold"`
	// WarmupSuccesses is the number of consecutive successes after which the limit of a target in warm-up is raised.
	WarmupSuccesses int `json:"warm" toml:"warm"`
	// Limit is the maximum number of concurrent requests of a warm target.
	Limit int `json:"limit" toml:"limit"`
	// QueueLimit is the maximum number of requests that wait for one target.
	QueueLimit      int      `json:"queue" toml:"queue"`
	RequiresFencing bool     `json:"fenced,omitempty" toml:"fenced,omitempty"`
	ReportsLoad     bool     `json:"reports,omitempty" toml:"reports,omitempty"`
	Targets         []Target `json:"target" toml:"target"`
}

// WithDefaults returns a copy with defaults in the empty fields.
func (p Pool) WithDefaults() Pool {
	if p.Type == "" {
		p.Type = Service
	}
	if p.Limit == 0 {
		p.Limit = 8
	}
	if p.ColdLimit == 0 {
		p.ColdLimit = 1
	}
	if p.WarmupSuccesses == 0 {
		p.WarmupSuccesses = 4
	}
	if p.QueueLimit == 0 {
		p.QueueLimit = 16 * p.Limit
	}
	targets := make([]Target, len(p.Targets))
	for i, t := range p.Targets {
		if t.State == "" {
			t.State = InService
		}
		targets[i] = t
	}
	p.Targets = targets
	return p
}

// WithTargetState returns a copy with the named target in state s, or false if there is no such target.
func (p Pool) WithTargetState(name string, s State) (Pool, bool) {
	found := false
	targets := make([]Target, len(p.Targets))
	for i, t := range p.Targets {
		if t.Name == name {
			t.State = s
			found = true
		}
		targets[i] = t
	}
	p.Targets = targets
	return p, found
}

// Validate returns all violations of the object on its own, without the objects that it refers to.
func (p Pool) Validate() validation.Violations {
	c := validation.Checker{Kind: Kind, Name: p.Name}
	c.CheckName()
	c.Check(p.Type == Engine || p.Type == Service, "type", "must be %q or %q, not %q", Engine, Service, p.Type)
	c.Check(p.Limit >= 1 && p.Limit <= maxLimit, "limit", "must be 1 to %d, not %d", maxLimit, p.Limit)
	c.Check(p.ColdLimit >= 1 && p.ColdLimit <= p.Limit, "cold", "must be 1 to the limit %d, not %d", p.Limit, p.ColdLimit)
	c.Check(p.WarmupSuccesses >= 1, "warm", "must be at least 1, not %d", p.WarmupSuccesses)
	c.Check(p.QueueLimit >= 1, "queue", "must be at least 1, not %d", p.QueueLimit)
	c.Check(len(p.Targets) > 0, "target", "a pool needs at least one")
	c.Check(len(p.Targets) <= maxTargets, "target", "at most %d, not %d", maxTargets, len(p.Targets))
	seen := map[string]bool{}
	for _, t := range p.Targets {
		t.check(&c, seen)
	}
	return c.List()
}

func (t Target) check(c *validation.Checker, seen map[string]bool) {
	field := "target." + t.Name
	c.Check(validation.ValidName(t.Name), field+".name", "is not a valid name: %q", t.Name)
	c.Check(!seen[t.Name], field+".name", "stands twice")
	seen[t.Name] = true
	host, _, err := net.SplitHostPort(t.Address)
	c.Check(err == nil && net.ParseIP(host) != nil, field+".address", "must be IP:PORT, not %q", t.Address)
	c.Check(t.Datacentre != "", field+".datacentre", "is missing")
	c.Check(t.State == InService || t.State == OutOfService, field+".state", "must be %q or %q, not %q", InService, OutOfService, t.State)
}
