package datacentre

import "github.com/lacewingdrift/lacewingdrift/internal/catalog/fault"

// Kind is the object kind of a data centre.
const Kind = "datacentre"

// State is whether a data centre takes new work.
type State string

// The states of a data centre.
const (
	In  State = "in"
	Out State = "out"
)

// Datacentre is one data centre as its operators want it.
type Datacentre struct {
	Name   string `json:"name" toml:"name"`
	State  State  `json:"state" toml:"state"`
	Region string `json:"region,omitempty" toml:"region,omitempty"`
}

// WithDefaults fills the fields left empty.
func (d Datacentre) WithDefaults() Datacentre {
	if d.State == "" {
		d.State = In
	}
	return d
}

// WithState gives a copy in another state.
func (d Datacentre) WithState(s State) Datacentre {
	d.State = s
	return d
}

// Validate lists every fault of the object by itself.
func (d Datacentre) Validate() fault.List {
	c := fault.Checker{Kind: Kind, Name: d.Name}
	c.CheckName()
	c.Check(d.State == In || d.State == Out, "state", "must be %q or %q, not %q", In, Out, d.State)
	c.Check(d.Region == "" || fault.ValidName(d.Region), "region", "is not a valid name: %q", d.Region)
	return c.List()
}
