package outcome

import (
	"encoding/json"
	"time"
)

// Kind is the name of an outcome in headers and bodies.
type Kind string

// The kinds of outcomes.
const (
	KindAnswered Kind = "answered"
	KindNotRun   Kind = "notrun"
	KindFailed   Kind = "failed"
	KindUnknown  Kind = "unknown"
)

// Reason is the reason why a request was not answered.
type Reason string

// The reasons.
const (
	Invalid             Reason = "invalid"
	Overload            Reason = "overload"
	Rate                Reason = "rate"
	Deadline            Reason = "deadline"
	NoTarget            Reason = "notarget"
	Isolated            Reason = "isolated"
	Stopping            Reason = "stopping"
	NotReady            Reason = "notready"
	PlatformUnavailable Reason = "platform"
	KeyReused           Reason = "keyreused"
	TargetError         Reason = "targeterror"
	Lost                Reason = "lost"
	Cancelled           Reason = "cancelled"
)

// Outcome is one of Answered, NotRun, Failed and Unknown.
type Outcome interface {
	// Kind returns the name of the outcome.
	Kind() Kind
	sealed()
}

// Answered is the outcome of a request with a complete response.
type Answered struct {
	Body json.RawMessage
	// EventCount is the number of stream events in the response.
	EventCount uint64
}

// NotRun is the outcome of a request of which no stage has reached a target, and none will.
type NotRun struct {
	Reason Reason
	Text   string
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry would be rejected again.
	RetryAfter time.Duration
}

// Failed is the outcome of a request that ran in part and has ended.
type Failed struct {
	Reason Reason
	Text   string
	// Retryable is set if the caller may retry the request.
	Retryable  bool
	RetryAfter time.Duration
}

// Unknown is the outcome of a request with a call that must not be retried and was sent, and whose response is not known.
type Unknown struct {
	Reason Reason
	Text   string
}

// Kind returns the name of the outcome.
func (Answered) Kind() Kind { return KindAnswered }

// Kind returns the name of the outcome.
func (NotRun) Kind() Kind { return KindNotRun }

// Kind returns the name of the outcome.
func (Failed) Kind() Kind { return KindFailed }

// Kind returns the name of the outcome.
func (Unknown) Kind() Kind { return KindUnknown }

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (Failed) sealed()   {}
func (Unknown) sealed()  {}

// Record is the encoded form of an outcome in responses to callers and in the ledger.
type Record struct {
	Outcome    Kind            `json:"outcome"`
	Reason     Reason          `json:"reason,omitempty"`
	Text       string          `json:"text,omitempty"`
	Retryable  bool            `json:"repeat,omitempty"`
	RetryMs    int64           `json:"retryms,omitempty"`
	Body       json.RawMessage `json:"answer,omitempty"`
	EventCount uint64          `json:"events,omitempty"`
}

// ToRecord encodes an outcome as a record.
func ToRecord(o Outcome) Record {
	switch o := o.(type) {
	case Answered:
		return Record{Outcome: KindAnswered, Body: o.Body, EventCount: o.EventCount}
	case NotRun:
		return Record{Outcome: KindNotRun, Reason: o.Reason, Text: o.Text, Retryable: o.RetryAfter > 0, RetryMs: o.RetryAfter.Milliseconds()}
	case Failed:
		return Record{Outcome: KindFailed, Reason: o.Reason, Text: o.Text, Retryable: o.Retryable, RetryMs: o.RetryAfter.Milliseconds()}
	case Unknown:
		return Record{Outcome: KindUnknown, Reason: o.Reason, Text: o.Text}
	}
	panic("outcome: unexpected type")
}

// FromRecord decodes a record; a record of an unknown kind becomes Unknown.
func FromRecord(r Record) Outcome {
	retry := time.Duration(r.RetryMs) * time.Millisecond
	switch r.Outcome {
	case KindAnswered:
		return Answered{Body: r.Body, EventCount: r.EventCount}
	case KindNotRun:
		return NotRun{Reason: r.Reason, Text: r.Text, RetryAfter: retry}
	case KindFailed:
		return Failed{Reason: r.Reason, Text: r.Text, Retryable: r.Retryable, RetryAfter: retry}
	default:
		return Unknown{Reason: r.Reason, Text: r.Text}
	}
}
