package pool

import (
	"net"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/fault"
)

// Kind is the object kind of a pool.
const Kind = "pool"

// Type says what a pool's targets are.
type Type string

// The types of pool.
const (
	Engine  Type = "engine"
	Service Type = "service"
)

const (
	maxTargets = 2000
	maxLimit   = 10000
)

// State is whether operators let a target take new work.
type State string

// The states of a target.
const (
	In  State = "in"
	Out State = "out"
)

// Target is one back end of a pool.
type Target struct {
	Name       string `json:"name" toml:"name"`
	Address    string `json:"address" toml:"address"`
	Datacentre string `json:"datacentre" toml:"datacentre"`
	VM         string `json:"vm,omitempty" toml:"vm,omitempty"`
	State      State  `json:"state,omitempty" toml:"state,omitempty"`
}

// Pool is a set of alike targets.
type Pool struct {
	Name string `json:"name" toml:"name"`
	Type Type   `json:"type" toml:"type"`
	// Cold is how many requests at once a cold target bears.
	Cold int `json:"cold" toml:"cold"`
	// Warm is how many answers in a row prove the next step.
	Warm int `json:"warm" toml:"warm"`
	// Limit is how many requests at once a warm target bears.
	Limit int `json:"limit" toml:"limit"`
	// Queue is how many requests may wait for one target.
	Queue   int      `json:"queue" toml:"queue"`
	Fenced  bool     `json:"fenced,omitempty" toml:"fenced,omitempty"`
	Reports bool     `json:"reports,omitempty" toml:"reports,omitempty"`
	Targets []Target `json:"target" toml:"target"`
}

// WithDefaults fills the fields left empty.
func (p Pool) WithDefaults() Pool {
	if p.Type == "" {
		p.Type = Service
	}
	if p.Limit == 0 {
		p.Limit = 8
	}
	if p.Cold == 0 {
		p.Cold = 1
	}
	if p.Warm == 0 {
		p.Warm = 4
	}
	if p.Queue == 0 {
		p.Queue = 16 * p.Limit
	}
	targets := make([]Target, len(p.Targets))
	for i, t := range p.Targets {
		if t.State == "" {
			t.State = In
		}
		targets[i] = t
	}
	p.Targets = targets
	return p
}

// WithTargetState gives a copy whose named target is in another state; false if there is none.
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

// Validate lists every fault of the object by itself.
func (p Pool) Validate() fault.List {
	c := fault.Checker{Kind: Kind, Name: p.Name}
	c.CheckName()
	c.Check(p.Type == Engine || p.Type == Service, "type", "must be %q or %q, not %q", Engine, Service, p.Type)
	c.Check(p.Limit >= 1 && p.Limit <= maxLimit, "limit", "must be 1 to %d, not %d", maxLimit, p.Limit)
	c.Check(p.Cold >= 1 && p.Cold <= p.Limit, "cold", "must be 1 to the limit %d, not %d", p.Limit, p.Cold)
	c.Check(p.Warm >= 1, "warm", "must be at least 1, not %d", p.Warm)
	c.Check(p.Queue >= 1, "queue", "must be at least 1, not %d", p.Queue)
	c.Check(len(p.Targets) > 0, "target", "a pool needs at least one")
	c.Check(len(p.Targets) <= maxTargets, "target", "at most %d, not %d", maxTargets, len(p.Targets))
	seen := map[string]bool{}
	for _, t := range p.Targets {
		t.check(&c, seen)
	}
	return c.List()
}

func (t Target) check(c *fault.Checker, seen map[string]bool) {
	field := "target." + t.Name
	c.Check(fault.ValidName(t.Name), field+".name", "is not a valid name: %q", t.Name)
	c.Check(!seen[t.Name], field+".name", "stands twice")
	seen[t.Name] = true
	host, _, err := net.SplitHostPort(t.Address)
	c.Check(err == nil && net.ParseIP(host) != nil, field+".address", "must be IP:PORT, not %q", t.Address)
	c.Check(t.Datacentre != "", field+".datacentre", "is missing")
	c.Check(t.State == In || t.State == Out, field+".state", "must be %q or %q, not %q", In, Out, t.State)
}
