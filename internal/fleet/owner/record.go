package owner

import (
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
)

// Kind is the platform's object kind that says who owns a target.
const Kind = "owner"

// Record says who owns a target, and what a former owner knew.
type Record struct {
	// Holder is empty once a target was handed over.
	Holder     string `json:"holder"`
	Generation uint64 `json:"generation"`
	// Epoch rises with each change of holder and is the fencing number.
	Epoch  uint64        `json:"epoch"`
	Health target.Health `json:"health"`
	// Inherited attempts of the former owner may run for LeftMs milliseconds more.
	Inherited   int   `json:"left"`
	InheritedMs int64 `json:"leftms"`
}

// Action says what a node does about a target.
type Action string

// The actions.
const (
	// NoAction leaves things as they are.
	NoAction Action = "nothing"
	// Create takes a target that nobody has owned.
	Create Action = "create"
	// Adopt takes a target that was handed over, with its health.
	Adopt Action = "adopt"
	// Takeover takes a target from a holder whose lease has ended, as cold.
	Takeover Action = "takeover"
	// Resume goes on with a target that the record already says is this node's.
	Resume Action = "resume"
)

// DecideAction says what the node self may do with a target that ranks it first.
// found tells whether there is a record, ended whether the holder's lease is over.
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

// TakenBy is the record after self has taken the target.
func (r Record) TakenBy(self string, generation uint64) Record {
	return Record{Holder: self, Generation: generation, Epoch: r.Epoch + 1}
}

// HandedOver is the record after the holder handed the target over.
func (r Record) HandedOver(h target.Health, left int, leftMs int64) Record {
	r.Holder = ""
	r.Health = h
	r.Inherited = left
	r.InheritedMs = leftMs
	return r
}
