package ledger

import (
	"cmp"
	"time"
)

// State is the logged state of a key.
type State string

// The states of a key.
const (
	// Claimed means that the request may have been sent.
	Claimed State = "claimed"
	// Settled means that Body holds the final outcome.
	Settled State = "settled"
	// Void means that the request was claimed and certainly not sent; the key may be claimed again.
	Void State = "void"
)

// Row is the logged record of one key.
type Row struct {
	Key string `json:"key"`
	// Digest identifies the request's body.
	Digest    string `json:"digest"`
	RequestID string `json:"request"`
	State     State  `json:"state"`
	Body      []byte `json:"body,omitempty"`
	// ClaimedAtMs and ExpiresAtMs are Unix times in milliseconds: when the key was claimed, and when its request is
	// certainly over.
	ClaimedAtMs int64 `json:"at"`
	ExpiresAtMs int64 `json:"until"`
	// Stamp orders the rows of one key.
	Stamp Stamp `json:"stamp,omitzero"`
}

// Stamp identifies the write of a row. The rows of one key are written one after the other by holders that take over from each
// other, so a later row has a higher stamp, whichever copy of the log has it.
type Stamp struct {
	// Era and Generation are those of the holder, Number counts its rows.
	Era        uint64 `json:"era,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Number     uint64 `json:"number,omitempty"`
}

// after reports whether the write came after another one of the same key.
func (s Stamp) after(other Stamp) bool {
	return cmp.Or(cmp.Compare(s.Era, other.Era), cmp.Compare(s.Generation, other.Generation), cmp.Compare(s.Number, other.Number)) > 0
}

// Status is the status of a claim or a lookup.
type Status string

// The statuses of a claim or a lookup.
const (
	// Granted means that the claimer may send the request.
	Granted Status = "granted"
	// Running means that the key is claimed by a request that is not over.
	Running Status = "running"
	// Done means that the key has an outcome.
	Done Status = "done"
	// KeyReused means that the key belongs to a request with another body.
	KeyReused Status = "reused"
	// Unknown means that the key was claimed by a request that is over without an outcome.
	Unknown Status = "unknown"
	// NotFound means that the key was never claimed, is void, or was claimed longer ago than the retention time.
	NotFound Status = "missing"
	// NotHolder means that another node holds the shard.
	NotHolder Status = "moved"
	// Unavailable means that the platform does not answer and that the claim will not be granted.
	Unavailable Status = "down"
)

// Result is a status with the request and the body that it refers to.
type Result struct {
	Status    Status
	RequestID string
	Body      []byte
}

// Shard is the state of one shard. It is not safe for concurrent use.
type Shard struct {
	rows      map[string]Row
	retention time.Duration
}

// NewShard returns an empty shard that keeps rows for retention.
func NewShard(retention time.Duration) *Shard {
	return &Shard{rows: map[string]Row{}, retention: retention}
}

// Apply adds a logged row; a later row replaces an earlier one of the same key.
func (s *Shard) Apply(r Row) { s.rows[r.Key] = r }

// Lookup returns what is known of a key at now.
func (s *Shard) Lookup(now time.Time, key string) Result {
	r, ok := s.rows[key]
	switch {
	case !ok || s.isExpired(now, r):
		return Result{Status: NotFound}
	case r.State == Settled:
		return Result{Status: Done, RequestID: r.RequestID, Body: r.Body}
	case r.State == Void:
		return Result{Status: NotFound, RequestID: r.RequestID}
	case now.UnixMilli() < r.ExpiresAtMs:
		return Result{Status: Running, RequestID: r.RequestID}
	default:
		return Result{Status: Unknown, RequestID: r.RequestID}
	}
}

// Claim decides on a claim; if it returns Granted, the row must be logged before anything is sent.
func (s *Shard) Claim(now time.Time, claim Row) Result {
	res := s.Lookup(now, claim.Key)
	if res.Status == NotFound {
		return Result{Status: Granted}
	}
	row := s.rows[claim.Key]
	if row.Digest != claim.Digest {
		return Result{Status: KeyReused}
	}
	// The same request claims again if the response to its first claim was lost.
	if row.RequestID == claim.RequestID && row.State == Claimed {
		return Result{Status: Granted}
	}
	return res
}

// Settle returns the row to log for the outcome of a request, or false if the request does not hold the key.
func (s *Shard) Settle(key, request string, state State, body []byte) (Row, bool) {
	r, ok := s.rows[key]
	if !ok || r.RequestID != request || r.State == Void {
		return Row{}, false
	}
	if r.State == Settled {
		return r, true
	}
	r.State = state
	r.Body = body
	return r, true
}

func (s *Shard) isExpired(now time.Time, r Row) bool {
	return now.UnixMilli()-r.ClaimedAtMs > s.retention.Milliseconds()
}

// Retained returns the row of a key if it must be kept at now; void and expired rows need not be kept.
func (s *Shard) Retained(now time.Time, key string) (Row, bool) {
	r, ok := s.rows[key]
	if !ok || r.State == Void || s.isExpired(now, r) {
		return Row{}, false
	}
	return r, true
}

// DropExpired deletes the rows that have expired at now.
func (s *Shard) DropExpired(now time.Time) {
	for k, r := range s.rows {
		if s.isExpired(now, r) {
			delete(s.rows, k)
		}
	}
}

// Len returns the number of rows.
func (s *Shard) Len() int { return len(s.rows) }
