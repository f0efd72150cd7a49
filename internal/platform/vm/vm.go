package vm

import "sort"

// State is what the platform says of a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine in the platform's list.
type VM struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// List is the platform's list with the count of its changes.
type List struct {
	Revision uint64 `json:"change"`
	VMs      []VM   `json:"vms"`
}

// LeavingSet is the set of leaving VMs as of one change of the list.
type LeavingSet struct {
	Revision uint64   `json:"change"`
	Names    []string `json:"names"`
}

// LeavingSet gives the names of the leaving VMs, sorted.
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

// Contains tells whether the named VM is leaving.
func (l LeavingSet) Contains(name string) bool {
	i := sort.SearchStrings(l.Names, name)
	return i < len(l.Names) && l.Names[i] == name
}
