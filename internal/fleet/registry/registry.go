package registry

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// State is a target's state as reported by the target.
type State string

// The states of a target.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Target is one running instance of a back end.
type Target struct {
	ID         string
	Service    string
	Address    string
	Datacentre string
	State      State
	Slots      int
	// Software is the version of the service that the target runs, "" if it does not tell.
	Software string
	// StartedAt is the start time of the target as reported by it.
	StartedAt int64
	// Beat rises each time that the target writes its entry in one run, 0 if it does not tell.
	Beat int64
	// Version is the version of the store entry that the target was read from.
	Version object.Version
	// ColdUntil is when the target becomes warm, by the clock of this node.
	ColdUntil time.Time
}

// Run returns the run of the target that the entry describes.
func (t Target) Run() notice.Target { return notice.Target{ID: t.ID, StartedAt: t.StartedAt} }

// isRestored reports whether the entry is a known one, or an earlier one of the same run, that came back with an older copy
// of the store.
func (t Target) isRestored(known Target) bool {
	return t.Version.Era() > known.Version.Era() && t.Run() == known.Run() && t.StartedAt != 0 && t.Beat != 0 && t.Beat <= known.Beat
}

// Cold reports whether the target is cold at now.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Node is one node process of the fleet.
type Node struct {
	Name       string
	Address    string
	Datacentre string
	// StartedAt is the start time of the process in Unix milliseconds.
	StartedAt int64
	// LinkMbps is the capacity of the node's link in megabits per second.
	LinkMbps float64
}

// Registry is an immutable view of the fleet.
type Registry struct {
	targets map[string]Target
	// heldUntil holds, for each target whose entry was removed but may return, when it goes out of use.
	heldUntil map[string]time.Time
	// gone holds the last entries of removed targets, which an older copy of the store may bring back.
	gone         map[string]Target
	outOfService map[string]bool
	nodes        map[string]Node
	// usable holds, by service, the targets that may be sent work; atAddress holds the targets by address.
	usable    map[string][]Target
	atAddress map[string]Target
	nodeNames []string
}

// New returns an empty registry.
func New() *Registry { return (&Registry{}).indexed() }

func (r *Registry) indexed() *Registry {
	r.usable = map[string][]Target{}
	r.atAddress = make(map[string]Target, len(r.targets))
	for _, t := range r.targets {
		if other, ok := r.atAddress[t.Address]; !ok || t.StartedAt > other.StartedAt {
			r.atAddress[t.Address] = t
		}
		if t.State == Ready && !r.outOfService[t.Datacentre] {
			r.usable[t.Service] = append(r.usable[t.Service], t)
		}
	}
	for _, list := range r.usable {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return r
}

func (r *Registry) copy() *Registry {
	return &Registry{targets: maps.Clone(r.targets), heldUntil: maps.Clone(r.heldUntil), gone: maps.Clone(r.gone), outOfService: r.outOfService, nodes: r.nodes, nodeNames: r.nodeNames}
}

// WithTargets returns the registry with exactly these targets. An unchanged entry keeps its cold time, which counts from
// when it was first seen. An entry that only an older copy of the store has brought back says nothing new: its target stays
// as it was known, or gone. Known ready targets that are missing from the list stay in use until hold, if it is not zero.
func (r *Registry) WithTargets(list []Target, hold time.Time) *Registry {
	n := r.copy()
	n.targets = make(map[string]Target, len(list))
	n.heldUntil = map[string]time.Time{}
	for _, t := range list {
		if gone, ok := r.gone[t.ID]; ok && t.isRestored(gone) {
			continue
		}
		if old, ok := r.targets[t.ID]; ok && (old.Version == t.Version || t.isRestored(old)) {
			t = old
		}
		n.targets[t.ID] = t
	}
	for id, t := range r.targets {
		switch _, ok := n.targets[id]; {
		case ok:
		case !hold.IsZero() && t.State == Ready:
			n.targets[id] = t
			n.heldUntil[id] = hold
		default:
			n.remember(t)
		}
	}
	return n.indexed()
}

// maxGone bounds the removed targets that are remembered: those of the latest minutes of a large fleet.
const maxGone = 1000

// remember keeps the entry of a target that is removed from the registry under construction.
func (r *Registry) remember(t Target) {
	if t.ID == "" {
		return
	}
	if r.gone == nil {
		r.gone = map[string]Target{}
	}
	r.gone[t.ID] = t
	if len(r.gone) <= 2*maxGone {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.gone), func(a, b string) int { return cmp.Compare(r.gone[b].Version, r.gone[a].Version) })
	for _, id := range ids[maxGone:] {
		delete(r.gone, id)
	}
}

// Change is one change of the registry's targets.
type Change interface{ change() }

// Put is the change by which a target is added or updated.
type Put struct{ Target Target }

// Removed is the change by which a target is removed.
type Removed struct{ ID string }

// Held is the change by which a target's entry is removed while the target stays in use until a time: the platform's
// store may have lost the entry although the target still runs.
type Held struct {
	ID    string
	Until time.Time
}

func (Put) change()     {}
func (Removed) change() {}
func (Held) change()    {}

// With returns the registry after applying changes in their order.
func (r *Registry) With(changes ...Change) *Registry {
	n := r.copy()
	if n.targets == nil {
		n.targets = map[string]Target{}
	}
	if n.heldUntil == nil {
		n.heldUntil = map[string]time.Time{}
	}
	for _, c := range changes {
		switch c := c.(type) {
		case Put:
			n.targets[c.Target.ID] = c.Target
			delete(n.heldUntil, c.Target.ID)
		case Removed:
			n.remember(n.targets[c.ID])
			delete(n.targets, c.ID)
			delete(n.heldUntil, c.ID)
		case Held:
			n.heldUntil[c.ID] = c.Until
		}
	}
	return n.indexed()
}

// WithoutExpired returns the registry without the targets whose entry was removed and whose time in use is over at now.
func (r *Registry) WithoutExpired(now time.Time) *Registry {
	n := r.copy()
	for id, until := range n.heldUntil {
		if !now.Before(until) {
			n.remember(n.targets[id])
			delete(n.targets, id)
			delete(n.heldUntil, id)
		}
	}
	return n.indexed()
}

// WithOutOfService returns the registry with exactly these data centres out of service.
func (r *Registry) WithOutOfService(datacentres []string) *Registry {
	n := r.copy()
	n.outOfService = map[string]bool{}
	for _, d := range datacentres {
		n.outOfService[d] = true
	}
	return n.indexed()
}

// WithNodes returns the registry with exactly these nodes.
func (r *Registry) WithNodes(list []Node) *Registry {
	n := *r
	n.nodes = map[string]Node{}
	n.nodeNames = make([]string, 0, len(list))
	for _, x := range list {
		if _, ok := n.nodes[x.Name]; !ok {
			n.nodeNames = append(n.nodeNames, x.Name)
		}
		n.nodes[x.Name] = x
	}
	sort.Strings(n.nodeNames)
	return &n
}

// Usable lists the targets of a service that may be sent work, sorted by ID.
func (r *Registry) Usable(service string) []Target { return r.usable[service] }

// Targets lists the targets of a service, whether or not they may be sent work.
func (r *Registry) Targets(service string) []Target {
	var list []Target
	for _, t := range r.targets {
		if t.Service == service {
			list = append(list, t)
		}
	}
	return list
}

// Target returns a target by its ID, whether or not it may be sent work.
func (r *Registry) Target(id string) (Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// AtAddress returns the target at an address, the one that started last if several entries name it.
func (r *Registry) AtAddress(address string) (Target, bool) {
	t, ok := r.atAddress[address]
	return t, ok
}

// TargetCount returns the number of known targets.
func (r *Registry) TargetCount() int { return len(r.targets) }

// OutOfService lists the data centres that are out of service, sorted.
func (r *Registry) OutOfService() []string {
	list := make([]string, 0, len(r.outOfService))
	for d := range r.outOfService {
		list = append(list, d)
	}
	sort.Strings(list)
	return list
}

// NodeNames lists the names of the nodes, sorted.
func (r *Registry) NodeNames() []string { return r.nodeNames }

// Node returns a node by its name.
func (r *Registry) Node(name string) (Node, bool) {
	n, ok := r.nodes[name]
	return n, ok
}
