package duration

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a length of time, written like "250ms".
type Duration time.Duration

// Duration gives the span as a time.Duration.
func (s Duration) Duration() time.Duration { return time.Duration(s) }

// String writes the span as time.Duration does.
func (s Duration) String() string { return time.Duration(s).String() }

// MarshalText writes the span for TOML and JSON.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a span, failing on anything time.ParseDuration refuses.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Prependf(err, "span %q", text)
	}
	*s = Duration(d)
	return nil
}
