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

// State is the state of a rollout as stored.
type State string

// The states of a rollout.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Status is the stored status of a rollout.
type Status struct {
	Version string    // the version that the status refers to
	State   State     // "" if there is none
	Began   time.Time // when the writer saw the order, zero if unknown (stored as Unix milliseconds, field "began")
}
