package owner

import (
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
)

// Kind is the platform's object kind for ownership records of targets.
const Kind = "owner"

// Record holds who owns a target, and the state that a former owner left.
type Record struct {
	// Holder is empty after the target was handed over.
	Holder     string `json:"holder"`
	Generation uint64 `json:"generation"`
	// Epoch increases with each change of holder and is the fencing token.
	Epoch  uint64        `json:"epoch"`
	Health target.Health `json:"health"`
	// Inherited attempts of the former owner may run for InheritedMs milliseconds more.
	Inherited   int   `json:"left"`
	InheritedMs int64 `json:"leftms"`
}

// Action is what a node does about the ownership of a target.
type Action string

// The actions.
const (
	// NoAction leaves the ownership as it is.
	NoAction Action = "nothing"
	// Create takes a target that was never owned.
	Create Action = "create"
	// Adopt takes a target that was handed over, with its health.
	Adopt Action = "adopt"
	// Takeover takes a target, as cold, from a holder whose lease has ended.
	Takeover Action = "takeover"
	// Resume continues with a target that the record already assigns to this node.
	Resume Action = "resume"
)

// DecideAction returns what the node self may do with a target that ranks it first.
// found is whether there is a record, ended whether the holder's lease has ended.
func DecideAction(found bool, r Record, self string, generation uint64, ended bool) Action {
	switch {
	case !found:
		return Create
	case r.Holder == "":
		return Adopt
	case r.Holder == self && r.Generation == generation:
		return Resume
	case ended:
		return Takeover
	default:
		return NoAction
	}
}

// TakenBy returns the record after self has taken the target.
func (r Record) TakenBy(self string, generation uint64) Record {
	return Record{Holder: self, Generation: generation, Epoch: r.Epoch + 1}
}

// HandedOver returns the record after the holder handed the target over.
func (r Record) HandedOver(h target.Health, inherited int, inheritedMs int64) Record {
	r.Holder = ""
	r.Health = h
	r.Inherited = inherited
	r.InheritedMs = inheritedMs
	return r
}
