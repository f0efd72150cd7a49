package duration

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a duration written as in "250ms".
type Duration time.Duration

// Duration returns d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d for TOML and JSON.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a duration; it fails on text that time.ParseDuration rejects.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Prependf(err, "span %q", text)
	}
	*d = Duration(parsed)
	return nil
}
