package datacentre

import "github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"

// Kind is the object kind of a data centre.
const Kind = "datacentre"

// State determines whether a data centre takes new work.
type State string

// The states of a data centre.
const (
	InService    State = "in"
	OutOfService State = "out"
)

// Datacentre is a data centre as configured by operators.
type Datacentre struct {
	Name   string `json:"name" toml:"name"`
	State  State  `json:"state" toml:"state"`
	Region string `json:"region,omitempty" toml:"region,omitempty"`
}

// WithDefaults returns a copy with defaults in the empty fields.
func (d Datacentre) WithDefaults() Datacentre {
	if d.State == "" {
		d.State = InService
	}
	return d
}

// WithState returns a copy in state s.
func (d Datacentre) WithState(s State) Datacentre {
	d.State = s
	return d
}

// Validate returns all violations of the object on its own, without the objects that it refers to.
func (d Datacentre) Validate() validation.Violations {
	c := validation.Checker{Kind: Kind, Name: d.Name}
	c.CheckName()
	c.Check(d.State == InService || d.State == OutOfService, "state", "must be %q or %q, not %q", InService, OutOfService, d.State)
	c.Check(d.Region == "" || validation.ValidName(d.Region), "region", "is not a valid name: %q", d.Region)
	return c.List()
}
