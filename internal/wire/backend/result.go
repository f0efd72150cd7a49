package backend

import "time"

// Result is one of Complete, Refused, Unreachable and Incomplete.
type Result interface{ sealed() }

// Complete is a complete response.
type Complete struct {
	Output []byte
	// Events is the number of the last stream event.
	Events uint64
	// HeaderLatency is the time from sending the request to the response header.
	HeaderLatency time.Duration
	BootID        string
}

// Refused means that the target refused the attempt without running it.
type Refused struct {
	Reason string
	BootID string
	// Draining reports whether the target accepts no more work at all.
	Draining bool
}

// Unreachable means that no connection could be opened, so nothing was sent.
type Unreachable struct{ Reason string }

// Incomplete means that the attempt may have run but its response is incomplete.
type Incomplete struct {
	Reason string
	BootID string
	// Stalled reports whether the connection stalled for the idle timeout.
	Stalled bool
}

func (Complete) sealed()    {}
func (Refused) sealed()     {}
func (Unreachable) sealed() {}
func (Incomplete) sealed()  {}
