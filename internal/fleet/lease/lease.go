package lease

import "time"

// Kind is the platform's object kind of a lease.
const Kind = "lease"

// State says whether a lease can still be renewed.
type State string

// The states of a lease.
const (
	Held State = "held"
	// Ended leases were given up by their holder or taken by a peer that had waited them out.
	Ended State = "ended"
)

// Record is what the platform keeps of a node's lease.
type Record struct {
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// Witnesses are the peers that alone may end the lease. While all of them vouch for the holder, the
	// lease goes on even if the platform cannot be reached.
	Witnesses []string `json:"wardens,omitempty"`
}

// Terms are the lengths that all nodes agree on.
type Terms struct {
	// Duration is how long a renewal lasts.
	Duration time.Duration
	// DriftPercent is how far two clocks' rates may lie apart.
	DriftPercent int
}

// TakeoverWait is how long a peer must see no renewal before it may end the lease.
func (t Terms) TakeoverWait() time.Duration {
	return t.Duration + t.Duration*time.Duration(t.DriftPercent)/100
}

// Lease is a node's own view of its lease.
type Lease struct {
	Generation uint64
	// Version is the lease object's version as of the last renewal.
	Version uint64
	// ExpiresAt is when the last renewal runs out, counted from before its call was sent.
	ExpiresAt time.Time
	// Revoked is set once a renewal was refused: the generation is over.
	Revoked bool
}

// Valid tells whether the holder may act at now.
func (l Lease) Valid(now time.Time) bool {
	return !l.Revoked && now.Before(l.ExpiresAt)
}

// Renewed gives the lease after a renewal whose call was sent at sent.
func (l Lease) Renewed(sent time.Time, version uint64, t Terms) Lease {
	l.Version = version
	until := sent.Add(t.Duration)
	if until.After(l.ExpiresAt) {
		l.ExpiresAt = until
	}
	return l
}

// AsRevoked gives the lease after the platform showed that another has ended it.
func (l Lease) AsRevoked() Lease {
	l.Revoked = true
	return l
}

// Observation is what a peer has seen of another node's lease object.
type Observation struct {
	Version        uint64
	UnchangedSince time.Time
}

// Observed gives the watch after the lease object was read with version at now.
func (w Observation) Observed(version uint64, now time.Time) Observation {
	if w.Version == version && !w.UnchangedSince.IsZero() {
		return w
	}
	return Observation{Version: version, UnchangedSince: now}
}

// Vouched gives the watch of a warden that has promised at now not to end the lease for its length.
func (w Observation) Vouched(now time.Time) Observation {
	w.UnchangedSince = now
	return w
}

// Expired tells whether the lease has been seen unrenewed for long enough to end it.
func (w Observation) Expired(now time.Time, t Terms) bool {
	return !w.UnchangedSince.IsZero() && now.Sub(w.UnchangedSince) >= t.TakeoverWait()
}
