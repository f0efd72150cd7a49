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
	Change uint64 `json:"change"`
	VMs    []VM   `json:"vms"`
}

// Leavers is the set of leaving VMs as of one change of the list.
type Leavers struct {
	Change uint64   `json:"change"`
	Names  []string `json:"names"`
}

// Leavers gives the names of the leaving VMs, sorted.
func (l List) Leavers() Leavers {
	var names []string
	for _, v := range l.VMs {
		if v.State == Leaving {
			names = append(names, v.Name)
		}
	}
	sort.Strings(names)
	return Leavers{Change: l.Change, Names: names}
}

// Has tells whether the named VM is leaving.
func (l Leavers) Has(name string) bool {
	i := sort.SearchStrings(l.Names, name)
	return i < len(l.Names) && l.Names[i] == name
}
