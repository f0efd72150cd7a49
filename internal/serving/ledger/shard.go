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
	// Digest stands for the request's body.
	Digest  string `json:"digest"`
	Request string `json:"request"`
	State   State  `json:"state"`
	Body    []byte `json:"body,omitempty"`
	// At and Until are Unix milliseconds: when the key was claimed, and when its request is surely over.
	At    int64 `json:"at"`
	Until int64 `json:"until"`
}

// Verdict says what a claim or a look-up came to.
type Verdict string

// The verdicts.
const (
	// Granted claims may send.
	Granted Verdict = "granted"
	// Running keys are claimed by a request that is not over.
	Running Verdict = "running"
	// Done keys have an outcome.
	Done Verdict = "done"
	// Reused keys belong to a request with another body.
	Reused Verdict = "reused"
	// Unknown keys were claimed by a request that is over without an outcome.
	Unknown Verdict = "unknown"
	// Missing keys were never claimed, or too long ago.
	Missing Verdict = "missing"
	// Moved says that another node holds the shard.
	Moved Verdict = "moved"
	// Down says that the platform does not answer, and that the claim will not be granted.
	Down Verdict = "down"
)

// Answer is a verdict with what belongs to it.
type Answer struct {
	Verdict Verdict
	Request string
	Body    []byte
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

// Look says what is known of a key at now.
func (s *Shard) Look(now time.Time, key string) Answer {
	r, ok := s.rows[key]
	switch {
	case !ok || s.expired(now, r):
		return Answer{Verdict: Missing}
	case r.State == Settled:
		return Answer{Verdict: Done, Request: r.Request, Body: r.Body}
	case r.State == Void:
		return Answer{Verdict: Missing, Request: r.Request}
	case now.UnixMilli() < r.Until:
		return Answer{Verdict: Running, Request: r.Request}
	default:
		return Answer{Verdict: Unknown, Request: r.Request}
	}
}

// Claim decides on a claim; for Granted the row has to be logged before anything is sent.
func (s *Shard) Claim(now time.Time, want Row) Answer {
	a := s.Look(now, want.Key)
	if a.Verdict == Missing {
		return Answer{Verdict: Granted}
	}
	row := s.rows[want.Key]
	if row.Digest != want.Digest {
		return Answer{Verdict: Reused}
	}
	// The same request asks again because an answer on the way to it was lost.
	if row.Request == want.Request && row.State == Claimed {
		return Answer{Verdict: Granted}
	}
	return a
}

// Settle gives the row to log for the end of a request; false if the request does not hold the key.
func (s *Shard) Settle(key, request string, state State, body []byte) (Row, bool) {
	r, ok := s.rows[key]
	if !ok || r.Request != request || r.State == Void {
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
	return now.UnixMilli()-r.At > s.retain.Milliseconds()
}

// Current gives the row of a key if it has to be kept at now; void and expired rows need not be.
func (s *Shard) Current(now time.Time, key string) (Row, bool) {
	r, ok := s.rows[key]
	if !ok || r.State == Void || s.expired(now, r) {
		return Row{}, false
	}
	return r, true
}

// Forget drops expired rows.
func (s *Shard) Forget(now time.Time) {
	for k, r := range s.rows {
		if s.expired(now, r) {
			delete(s.rows, k)
		}
	}
}

// Len is how many rows the shard holds.
func (s *Shard) Len() int { return len(s.rows) }
