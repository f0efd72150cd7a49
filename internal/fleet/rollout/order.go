package rollout

import "time"

// Order is an operator's request to move the traffic of a service to a version.
type Order struct {
	Service string
	Version string
	// Duration is the time from the store's acknowledgement of the order to its deadline.
	Duration time.Duration
	// Created is the revision at which the order's object was created; it tells apart two orders of the same name.
	Created uint64
}

// Is reports whether two orders are the same one; an operator may prolong a running order.
func (o Order) Is(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Created == other.Created
}

// State is the state of a rollout as stored.
type State string

// The states of a rollout; the last two are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// Status is the stored status of a rollout.
type Status struct {
	// Version is the version that the status refers to.
	Version string
	// State is "" if there is no status.
	State State
	// Began is when the writer saw the order by its clock, zero if unknown.
	Began time.Time
}
