package ledger

import (
	"time"
)

// State is what is known of a key.
type State string

// The states of a key.
const (
	// Claimed keys may have been sent.
	Claimed State = "claimed"
	// Settled keys have a final outcome in Body.
	Settled State = "settled"
	// Void keys were claimed and surely not sent; they may be claimed anew.
	Void State = "void"
)

// Row is the state of one key, as it is logged.
type Row struct {
	Key string `json:"key"`
	// BodyHash stands for the request's body.
	BodyHash  string `json:"digest"`
	RequestID string `json:"request"`
	State     State  `json:"state"`
	Body      []byte `json:"body,omitempty"`
	// ClaimedAtMs and Until are Unix milliseconds: when the key was claimed, and when its request is surely over.
	ClaimedAtMs int64 `json:"at"`
	ExpiresAtMs int64 `json:"until"`
}

// Status says what a claim or a look-up came to.
type Status string

// The verdicts.
const (
	// Granted claims may send.
	Granted Status = "granted"
	// Running keys are claimed by a request that is not over.
	Running Status = "running"
	// Done keys have an outcome.
	Done Status = "done"
	// KeyReused keys belong to a request with another body.
	KeyReused Status = "reused"
	// Unknown keys were claimed by a request that is over without an outcome.
	Unknown Status = "unknown"
	// NotFound keys were never claimed, or too long ago.
	NotFound Status = "missing"
	// NotHolder says that another node holds the shard.
	NotHolder Status = "moved"
	// Unavailable says that the platform does not answer, and that the claim will not be granted.
	Unavailable Status = "down"
)

// Result is a verdict with what belongs to it.
type Result struct {
	Status    Status
	RequestID string
	Body      []byte
}

// Shard is the state of one shard. It is not safe for concurrent use.
type Shard struct {
	rows   map[string]Row
	retain time.Duration
}

// NewShard makes an empty shard that keeps rows for retain.
func NewShard(retain time.Duration) *Shard {
	return &Shard{rows: map[string]Row{}, retain: retain}
}

// Apply takes in a logged row; one logged later replaces one logged before.
func (s *Shard) Apply(r Row) { s.rows[r.Key] = r }

// Lookup says what is known of a key at now.
func (s *Shard) Lookup(now time.Time, key string) Result {
	r, ok := s.rows[key]
	switch {
	case !ok || s.expired(now, r):
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

// Claim decides on a claim; for Granted the row has to be logged before anything is sent.
func (s *Shard) Claim(now time.Time, want Row) Result {
	a := s.Lookup(now, want.Key)
	if a.Status == NotFound {
		return Result{Status: Granted}
	}
	row := s.rows[want.Key]
	if row.BodyHash != want.BodyHash {
		return Result{Status: KeyReused}
	}
	// The same request asks again because an answer on the way to it was lost.
	if row.RequestID == want.RequestID && row.State == Claimed {
		return Result{Status: Granted}
	}
	return a
}

// Settle gives the row to log for the end of a request; false if the request does not hold the key.
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

func (s *Shard) expired(now time.Time, r Row) bool {
	return now.UnixMilli()-r.ClaimedAtMs > s.retain.Milliseconds()
}

// Retained gives the row of a key if it has to be kept at now; void and expired rows need not be.
func (s *Shard) Retained(now time.Time, key string) (Row, bool) {
	r, ok := s.rows[key]
	if !ok || r.State == Void || s.expired(now, r) {
		return Row{}, false
	}
	return r, true
}

// DropExpired drops expired rows.
func (s *Shard) DropExpired(now time.Time) {
	for k, r := range s.rows {
		if s.expired(now, r) {
			delete(s.rows, k)
		}
	}
}

// Len is how many rows the shard holds.
func (s *Shard) Len() int { return len(s.rows) }
