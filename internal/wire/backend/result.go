package backend

import "time"

// Result is one of Whole, Refused, Unreached and Broken.
type Result interface{ sealed() }

// Complete is a complete answer.
type Complete struct {
	Output []byte
	// Events is the number of the last stream event.
	Events uint64
	// HeaderLatency is the time to the response header.
	HeaderLatency time.Duration
	Boot          string
}

// Refused says that the target itself did not take the attempt.
type Refused struct {
	Reason string
	Boot   string
	// Draining tells that the target takes no more work at all.
	Draining bool
}

// Unreachable says that no connection could be opened, so that nothing was sent.
type Unreachable struct{ Reason string }

// Incomplete says that the attempt may have run and its answer is not whole.
type Incomplete struct {
	Reason string
	Boot   string
	// Silent tells that the connection brought nothing for too long.
	Silent bool
}

func (Complete) sealed()    {}
func (Refused) sealed()     {}
func (Unreachable) sealed() {}
func (Incomplete) sealed()  {}
