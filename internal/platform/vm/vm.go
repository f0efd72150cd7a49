package vm

import "sort"

// State is the state of a VM as the platform reports it.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine of the fleet in the platform's list.
type VM struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// List is the platform's list of VMs with its revision, the count of its changes.
type List struct {
	Revision uint64 `json:"change"`
	VMs      []VM   `json:"vms"`
}

// LeavingSet is the set of leaving VMs as of one revision of the list.
type LeavingSet struct {
	Revision uint64   `json:"change"`
	Names    []string `json:"names"`
}

// LeavingSet returns the names of the leaving VMs, sorted.
func (l List) LeavingSet() LeavingSet {
	var names []string
	for _, v := range l.VMs {
		if v.State == Leaving {
			names = append(names, v.Name)
		}
	}
	sort.Strings(names)
	return LeavingSet{Revision: l.Revision, Names: names}
}

// Contains reports whether the named VM is leaving.
func (l LeavingSet) Contains(name string) bool {
	i := sort.SearchStrings(l.Names, name)
	return i < len(l.Names) && l.Names[i] == name
}
