package team

import "github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"

// Kind is the object kind of a team.
const Kind = "team"

// Priority orders requests that wait for the same target.
type Priority string

// The priorities, from the first served to the last.
const (
	High   Priority = "high"
	Normal Priority = "normal"
	Low    Priority = "low"
)

// Rank returns the order of a priority; a lower rank is served first.
func (p Priority) Rank() int {
	switch p {
	case High:
		return 0
	case Low:
		return 2
	default:
		return 1
	}
}

// Valid reports whether p is one of the priorities.
func (p Priority) Valid() bool { return p == High || p == Normal || p == Low }

const maxWeight = 1000

// Team is a group of callers that shares a weight.
type Team struct {
	Name   string `json:"name" toml:"name"`
	Weight int    `json:"weight" toml:"weight"`
	// RateLimit is the number of requests per second that one node accepts from the team; 0 means no limit.
	RateLimit float64  `json:"rate,omitempty" toml:"rate,omitempty"`
	Priority  Priority `json:"priority" toml:"priority"`
}

// WithDefaults returns a copy with defaults in the empty fields.
func (t Team) WithDefaults() Team {
	if t.Weight == 0 {
		t.Weight = 1
	}
	if t.Priority == "" {
		t.Priority = Normal
	}
	return t
}

// Validate returns all violations of the object on its own, without the objects that it refers to.
func (t Team) Validate() validation.Violations {
	c := validation.Checker{Kind: Kind, Name: t.Name}
	c.CheckName()
	c.Check(t.Weight >= 1 && t.Weight <= maxWeight, "weight", "must be 1 to %d, not %d", maxWeight, t.Weight)
	c.Check(t.RateLimit >= 0, "rate", "must be 0 or more, not %g", t.RateLimit)
	c.Check(t.Priority.Valid(), "priority", "must be high, normal or low, not %q", t.Priority)
	return c.List()
}
