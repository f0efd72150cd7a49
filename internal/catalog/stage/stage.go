package stage

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/fault"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/span"
)

// Kind is the object kind of a stage.
const Kind = "stage"

const (
	defaultTimeout = 2 * time.Second
	defaultSilence = time.Second
	maxTimeout     = 10 * time.Minute
)

// Repeat says whether a stage's call may be sent more than once.
type Repeat string

// The kinds of repeat.
const (
	May   Repeat = "may"
	Never Repeat = "never"
)

// Stage is one step of a pipeline.
type Stage struct {
	Name string `json:"name" toml:"name"`
	Pool string `json:"pool" toml:"pool"`
	// Timeout bounds one attempt.
	Timeout span.Span `json:"timeout" toml:"timeout"`
	// Silence bounds the time to the response header and between two events of a stream.
	Silence span.Span `json:"silence" toml:"silence"`
	Repeat  Repeat    `json:"repeat" toml:"repeat"`
	Stream  bool      `json:"stream,omitempty" toml:"stream,omitempty"`
}

// WithDefaults fills the fields left empty.
func (s Stage) WithDefaults() Stage {
	if s.Timeout == 0 {
		s.Timeout = span.Span(defaultTimeout)
	}
	if s.Silence == 0 {
		s.Silence = s.Timeout
		if s.Stream {
			s.Silence = span.Span(min(defaultSilence, s.Timeout.Duration()))
		}
	}
	if s.Repeat == "" {
		s.Repeat = May
	}
	return s
}

// Validate lists every fault of the object by itself.
func (s Stage) Validate() fault.List {
	c := fault.Checker{Kind: Kind, Name: s.Name}
	c.CheckName()
	c.Check(s.Pool != "", "pool", "is missing")
	c.Check(s.Timeout > 0 && s.Timeout.Duration() <= maxTimeout, "timeout", "must be above 0 and at most %s, not %s", maxTimeout, s.Timeout)
	c.Check(s.Silence > 0 && s.Silence <= s.Timeout, "silence", "must be above 0 and at most the timeout %s, not %s", s.Timeout, s.Silence)
	c.Check(s.Repeat == May || s.Repeat == Never, "repeat", "must be %q or %q, not %q", May, Never, s.Repeat)
	c.Check(!(s.Stream && s.Repeat == Never), "stream", "a stage that never repeats cannot be streamed")
	return c.List()
}
