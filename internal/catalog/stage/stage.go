package stage

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// Kind is the object kind of a stage.
const Kind = "stage"

const (
	defaultTimeout     = 2 * time.Second
	defaultIdleTimeout = time.Second
	maxTimeout         = 10 * time.Minute
)

// RetryPolicy determines whether the call of a stage may be sent more than once.
type RetryPolicy string

// The retry policies.
const (
	RetryAllowed RetryPolicy = "may"
	RetryNever   RetryPolicy = "never"
)

// Stage is one step of a pipeline.
type Stage struct {
	Name string `json:"name" toml:"name"`
	Pool string `json:"pool" toml:"pool"`
	// Timeout is the maximum time of one attempt.
	Timeout duration.Duration `json:"timeout" toml:"timeout"`
	// IdleTimeout is the maximum time to the response header and between two events of a stream.
	IdleTimeout duration.Duration `json:"silence" toml:"silence"`
	RetryPolicy RetryPolicy       `json:"repeat" toml:"repeat"`
	Stream      bool              `json:"stream,omitempty" toml:"stream,omitempty"`
}

// WithDefaults returns a copy with defaults in the empty fields.
func (s Stage) WithDefaults() Stage {
	if s.Timeout == 0 {
		s.Timeout = duration.Duration(defaultTimeout)
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = s.Timeout
		if s.Stream {
			s.IdleTimeout = duration.Duration(min(defaultIdleTimeout, s.Timeout.Duration()))
		}
	}
	if s.RetryPolicy == "" {
		s.RetryPolicy = RetryAllowed
	}
	return s
}

// Validate returns all violations of the object on its own, without the objects that it refers to.
func (s Stage) Validate() validation.Violations {
	c := validation.Checker{Kind: Kind, Name: s.Name}
	c.CheckName()
	c.Check(s.Pool != "", "pool", "is missing")
	c.Check(s.Timeout > 0 && s.Timeout.Duration() <= maxTimeout, "timeout", "must be above 0 and at most %s, not %s", maxTimeout, s.Timeout)
	c.Check(s.IdleTimeout > 0 && s.IdleTimeout <= s.Timeout, "silence", "must be above 0 and at most the timeout %s, not %s", s.Timeout, s.IdleTimeout)
	c.Check(s.RetryPolicy == RetryAllowed || s.RetryPolicy == RetryNever, "repeat", "must be %q or %q, not %q", RetryAllowed, RetryNever, s.RetryPolicy)
	c.Check(!(s.Stream && s.RetryPolicy == RetryNever), "stream", "a stage that never repeats cannot be streamed")
	return c.List()
}
