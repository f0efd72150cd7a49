package registry

import (
	"maps"
	"sort"
	"time"
)

// State is what a target says of itself.
type State string

// The states of a target.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Target is one running back end.
type Target struct {
	ID         string
	Service    string
	Address    string
	Datacentre string
	State      State
	Slots      int
	// StartedAt is the start of this run of the target, as it tells it.
	StartedAt int64
	// Version is that of the entry that this was read from.
	Version uint64
	// ColdUntil is when the target is warm, by the clock of this node.
	ColdUntil time.Time
}

// Cold tells whether the target is cold at now.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Node is one process of the system.
type Node struct {
	Name       string
	Address    string
	Datacentre string
	// StartedAt is the Unix millisecond of the process's start.
	StartedAt int64
	// LinkMbps is the width of the node's link, in megabits a second.
	LinkMbps float64
}

// Registry is an immutable picture of the fleet.
type Registry struct {
	targets map[string]Target
	// lapsed holds the targets whose entry is gone but may come back.
	lapsed   map[string]time.Time
	out      map[string]bool
	nodes    map[string]Node
	services map[string][]Target
	names    []string
}

// New is a roster of nothing.
func New() *Registry { return (&Registry{}).built() }

func (r *Registry) built() *Registry {
	r.services = map[string][]Target{}
	for _, t := range r.targets {
		if t.State == Ready && !r.out[t.Datacentre] {
			r.services[t.Service] = append(r.services[t.Service], t)
		}
	}
	for _, list := range r.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return r
}

func (r *Registry) copy() *Registry {
	return &Registry{targets: maps.Clone(r.targets), lapsed: maps.Clone(r.lapsed), out: r.out, nodes: r.nodes, names: r.names}
}

// WithTargets gives the roster with exactly these targets. An entry that has not changed keeps its cold time, which
// counts from when it was first seen. Known targets that are missing stay until hold, if that is not zero.
func (r *Registry) WithTargets(list []Target, hold time.Time) *Registry {
	n := r.copy()
	n.targets = make(map[string]Target, len(list))
	n.lapsed = map[string]time.Time{}
	for _, t := range list {
		if before, ok := r.targets[t.ID]; ok && before.Version == t.Version {
			t = before
		}
		n.targets[t.ID] = t
	}
	if hold.IsZero() {
		return n.built()
	}
	for id, t := range r.targets {
		if _, ok := n.targets[id]; !ok && t.State == Ready {
			n.targets[id] = t
			n.lapsed[id] = hold
		}
	}
	return n.built()
}

// Change is what became of one target.
type Change interface{ change() }

// Put is a target that was added or has changed.
type Put struct{ Target Target }

// Removed is a target that left.
type Removed struct{ ID string }

// Lapsed is a target whose entry is gone but which stays in use until a time: the entry may have ended with the
// platform's store, not with the target.
type Lapsed struct {
	ID    string
	Until time.Time
}

func (Put) change()     {}
func (Removed) change() {}
func (Lapsed) change()  {}

// With gives the roster after changes, in their order.
func (r *Registry) With(changes ...Change) *Registry {
	n := r.copy()
	if n.targets == nil {
		n.targets = map[string]Target{}
	}
	if n.lapsed == nil {
		n.lapsed = map[string]time.Time{}
	}
	for _, c := range changes {
		switch c := c.(type) {
		case Put:
			n.targets[c.Target.ID] = c.Target
			delete(n.lapsed, c.Target.ID)
		case Removed:
			delete(n.targets, c.ID)
			delete(n.lapsed, c.ID)
		case Lapsed:
			n.lapsed[c.ID] = c.Until
		}
	}
	return n.built()
}

// WithoutLapsed drops the lapsed targets whose time is over at now.
func (r *Registry) WithoutLapsed(now time.Time) *Registry {
	n := r.copy()
	for id, until := range n.lapsed {
		if !now.Before(until) {
			delete(n.targets, id)
			delete(n.lapsed, id)
		}
	}
	return n.built()
}

// WithOutOfService gives the roster with exactly these data centres taken out.
func (r *Registry) WithOutOfService(datacentres []string) *Registry {
	n := r.copy()
	n.out = map[string]bool{}
	for _, d := range datacentres {
		n.out[d] = true
	}
	return n.built()
}

// WithNodes gives the roster with exactly these nodes.
func (r *Registry) WithNodes(list []Node) *Registry {
	n := *r
	n.nodes = map[string]Node{}
	n.names = make([]string, 0, len(list))
	for _, x := range list {
		if _, ok := n.nodes[x.Name]; !ok {
			n.names = append(n.names, x.Name)
		}
		n.nodes[x.Name] = x
	}
	sort.Strings(n.names)
	return &n
}

// Usable lists the targets of a service that may be sent work, by their ids.
func (r *Registry) Usable(service string) []Target { return r.services[service] }

// Target gives a target by its id, whether or not it may be sent work.
func (r *Registry) Target(id string) (Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// TargetCount is the number of known targets.
func (r *Registry) TargetCount() int { return len(r.targets) }

// OutOfService lists the data centres that are taken out.
func (r *Registry) OutOfService() []string {
	list := make([]string, 0, len(r.out))
	for d := range r.out {
		list = append(list, d)
	}
	sort.Strings(list)
	return list
}

// NodeNames lists the names of the nodes in order.
func (r *Registry) NodeNames() []string { return r.names }

// Node gives a node by its name.
func (r *Registry) Node(name string) (Node, bool) {
	n, ok := r.nodes[name]
	return n, ok
}
