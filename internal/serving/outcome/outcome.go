package outcome

import (
	"encoding/json"
	"time"
)

// Name is how an outcome is written in headers and bodies.
type Name string

// The names of the outcomes.
const (
	NameAnswered Name = "answered"
	NameNotRun   Name = "notrun"
	NameFailed   Name = "failed"
	NameUnknown  Name = "unknown"
)

// Reason says why a request was not answered.
type Reason string

// The reasons.
const (
	Invalid     Reason = "invalid"
	Overload    Reason = "overload"
	Rate        Reason = "rate"
	Deadline    Reason = "deadline"
	NoTarget    Reason = "notarget"
	Isolated    Reason = "isolated"
	Stopping    Reason = "stopping"
	NotReady    Reason = "notready"
	PlatformOut Reason = "platform"
	KeyReused   Reason = "keyreused"
	TargetError Reason = "targeterror"
	Lost        Reason = "lost"
	Cancelled   Reason = "cancelled"
)

// Outcome is one of Answered, NotRun, Failed and Unknown.
type Outcome interface {
	// Name is how the outcome is written.
	Name() Name
	sealed()
}

// Answered is a whole answer.
type Answered struct {
	Body json.RawMessage
	// Events is how many stream events the answer had.
	Events uint64
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
	// Repeat tells whether the caller may send the request again.
	Repeat     bool
	RetryAfter time.Duration
}

// Unknown says that a call which may not be repeated was sent and its answer is not known.
type Unknown struct {
	Reason Reason
	Text   string
}

// Name is how the outcome is written.
func (Answered) Name() Name { return NameAnswered }

// Name is how the outcome is written.
func (NotRun) Name() Name { return NameNotRun }

// Name is how the outcome is written.
func (Failed) Name() Name { return NameFailed }

// Name is how the outcome is written.
func (Unknown) Name() Name { return NameUnknown }

func (Answered) sealed() {}
func (NotRun) sealed()   {}
func (Failed) sealed()   {}
func (Unknown) sealed()  {}

// Record is an outcome as it is written to callers and into the ledger.
type Record struct {
	Outcome Name            `json:"outcome"`
	Reason  Reason          `json:"reason,omitempty"`
	Text    string          `json:"text,omitempty"`
	Repeat  bool            `json:"repeat,omitempty"`
	RetryMs int64           `json:"retryms,omitempty"`
	Body    json.RawMessage `json:"answer,omitempty"`
	Events  uint64          `json:"events,omitempty"`
}

// Pack writes an outcome as a record.
func Pack(o Outcome) Record {
	switch o := o.(type) {
	case Answered:
		return Record{Outcome: NameAnswered, Body: o.Body, Events: o.Events}
	case NotRun:
		return Record{Outcome: NameNotRun, Reason: o.Reason, Text: o.Text, Repeat: o.RetryAfter > 0, RetryMs: o.RetryAfter.Milliseconds()}
	case Failed:
		return Record{Outcome: NameFailed, Reason: o.Reason, Text: o.Text, Repeat: o.Repeat, RetryMs: o.RetryAfter.Milliseconds()}
	case Unknown:
		return Record{Outcome: NameUnknown, Reason: o.Reason, Text: o.Text}
	}
	panic("outcome: not one of the four")
}

// Unpack reads a record back; a record of no known name is Unknown.
func Unpack(r Record) Outcome {
	retry := time.Duration(r.RetryMs) * time.Millisecond
	switch r.Outcome {
	case NameAnswered:
		return Answered{Body: r.Body, Events: r.Events}
	case NameNotRun:
		return NotRun{Reason: r.Reason, Text: r.Text, RetryAfter: retry}
	case NameFailed:
		return Failed{Reason: r.Reason, Text: r.Text, Repeat: r.Repeat, RetryAfter: retry}
	default:
		return Unknown{Reason: r.Reason, Text: r.Text}
	}
}
