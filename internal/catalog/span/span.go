package span

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Span is a length of time, written like "250ms".
type Span time.Duration

// Duration gives the span as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// String writes the span as time.Duration does.
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes the span for TOML and JSON.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a span, failing on anything time.ParseDuration refuses.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Prependf(err, "span %q", text)
	}
	*s = Span(d)
	return nil
}
