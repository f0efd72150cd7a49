package outcome

import (
	"encoding/json"
	"time"
)

// Kind is how an outcome is written in headers and bodies.
type Kind string

// The names of the outcomes.
const (
	KindAnswered Kind = "answered"
	KindNotRun   Kind = "notrun"
	KindFailed   Kind = "failed"
	KindUnknown  Kind = "unknown"
)

// Reason says why a request was not answered.
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
	// Kind is how the outcome is written.
	Kind() Kind
	sealed()
}

// Answered is a whole answer.
type Answered struct {
	Body json.RawMessage
	// EventCount is how many stream events the answer had.
	EventCount uint64
}

// NotRun says that no stage of the request has reached a target, and none will.
type NotRun struct {
	Reason Reason
	Text   string
	// RetryAfter is when a repeat may do better; 0 if a repeat would be refused again.
	RetryAfter time.Duration
}

// Failed says that the request ran in part and is over.
type Failed struct {
	Reason Reason
	Text   string
	// Retryable tells whether the caller may send the request again.
	Retryable  bool
	RetryAfter time.Duration
}

// Unknown says that a call which may not be repeated was sent and its answer is not known.
type Unknown struct {
	Reason Reason
	Text   string
}

// Kind is how the outcome is written.
func (Answered) Kind() Kind { return KindAnswered }

// Kind is how the outcome is written.
func (NotRun) Kind() Kind { return KindNotRun }

// Kind is how the outcome is written.
func (Failed) Kind() Kind { return KindFailed }

// Kind is how the outcome is written.
func (Unknown) Kind() Kind { return KindUnknown }

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (Failed) sealed()   {}
func (Unknown) sealed()  {}

// Record is an outcome as it is written to callers and into the ledger.
type Record struct {
	Outcome    Kind            `json:"outcome"`
	Reason     Reason          `json:"reason,omitempty"`
	Text       string          `json:"text,omitempty"`
	Retryable  bool            `json:"repeat,omitempty"`
	RetryMs    int64           `json:"retryms,omitempty"`
	Body       json.RawMessage `json:"answer,omitempty"`
	EventCount uint64          `json:"events,omitempty"`
}

// ToRecord writes an outcome as a record.
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
	panic("outcome: not one of the four")
}

// FromRecord reads a record back; a record of no known name is Unknown.
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
