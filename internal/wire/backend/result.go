package backend

import "time"

// Result is one of Whole, Refused, Unreached and Broken.
type Result interface{ sealed() }

// Whole is a complete answer.
type Whole struct {
	Output []byte
	// Events is the number of the last stream event.
	Events uint64
	// First is the time to the response header.
	First time.Duration
	Boot  string
}

// Refused says that the target itself did not take the attempt.
type Refused struct {
	Reason string
	Boot   string
	// Leaving tells that the target takes no more work at all.
	Leaving bool
}

// Unreached says that no connection could be opened, so that nothing was sent.
type Unreached struct{ Reason string }

// Broken says that the attempt may have run and its answer is not whole.
type Broken struct {
	Reason string
	Boot   string
	// Silent tells that the connection brought nothing for too long.
	Silent bool
}

func (Whole) sealed()     {}
func (Refused) sealed()   {}
func (Unreached) sealed() {}
func (Broken) sealed()    {}
