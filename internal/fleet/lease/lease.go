package lease

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// Kind is the platform's object kind of a lease.
const Kind = "lease"

// State is the state of a lease.
type State string

// The states of a lease.
const (
	Held State = "held"
	// Ended is the state of a lease that its holder released or that a peer ended after its expiry.
	Ended State = "ended"
)

// Record is a node's lease as stored by the platform.
type Record struct {
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// Witnesses are the only peers that may end the lease. While all of them vouch for the holder, the
	// lease stays valid even if the platform is unreachable.
	Witnesses []string `json:"wardens,omitempty"`
}

// Terms are the lease settings that all nodes agree on.
type Terms struct {
	// Duration is how long a renewal lasts.
	Duration time.Duration
	// DriftPercent is the largest difference between the rates of two clocks, in percent.
	DriftPercent int
}

// TakeoverWait returns how long a peer must see no renewal before it may end the lease.
func (t Terms) TakeoverWait() time.Duration {
	return t.Duration + t.Duration*time.Duration(t.DriftPercent)/100
}

// Lease is a node's own view of its lease.
type Lease struct {
	Generation uint64
	// Version is the lease object's version as of the last renewal.
	Version object.Version
	// ExpiresAt is when the last renewal expires, counted from before its call was sent.
	ExpiresAt time.Time
	// Revoked is set once a renewal was refused, which ends the generation.
	Revoked bool
}

// Valid reports whether the holder may act at now.
func (l Lease) Valid(now time.Time) bool {
	return !l.Revoked && now.Before(l.ExpiresAt)
}

// Renewed returns the lease after a renewal whose call was sent at sent.
func (l Lease) Renewed(sent time.Time, version object.Version, t Terms) Lease {
	l.Version = version
	until := sent.Add(t.Duration)
	if until.After(l.ExpiresAt) {
		l.ExpiresAt = until
	}
	return l
}

// AsRevoked returns the lease after the platform has reported that a peer ended it.
func (l Lease) AsRevoked() Lease {
	l.Revoked = true
	return l
}

// Observation is a peer's view of another node's lease object.
type Observation struct {
	Version        object.Version
	UnchangedSince time.Time
}

// Observed returns the observation after the lease object was read with version at now.
func (o Observation) Observed(version object.Version, now time.Time) Observation {
	if o.Version == version && !o.UnchangedSince.IsZero() {
		return o
	}
	return Observation{Version: version, UnchangedSince: now}
}

// Vouched returns the observation of a witness that promised at now not to end the lease for the lease's duration.
func (o Observation) Vouched(now time.Time) Observation {
	o.UnchangedSince = now
	return o
}

// Expired reports whether no renewal has been seen for long enough to end the lease.
func (o Observation) Expired(now time.Time, t Terms) bool {
	return !o.UnchangedSince.IsZero() && now.Sub(o.UnchangedSince) >= t.TakeoverWait()
}
