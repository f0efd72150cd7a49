package eventstream

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// Relay assembles one stream for a caller from the responses of one or more targets; the zero value is the start of a stream.
type Relay struct {
	// Place is how far the caller has the stream.
	Place Place
	// Response is how far the current response has been read.
	Response Progress
	// pending is the part of the current response that follows its last complete event.
	pending []byte
	// hasBegun is set once the current response has brought an event.
	hasBegun bool
}

// NewRelay returns the relay of a caller that has all events up to one with an ID, "" for none.
func NewRelay(after string) Relay { return Relay{Place: PlaceAfter(after)} }

// WithResponse returns the relay at the start of another response.
func (r Relay) WithResponse() Relay { return Relay{Place: r.Place} }

// Passed is what a read of a response brings.
type Passed struct {
	// Text goes to the caller.
	Text []byte
	// Held are the events that do not, and why.
	Held []Held
}

// Held is an event that was held back from the caller.
type Held struct {
	ID      string
	Verdict Verdict
}

// ErrNotContinued means that a response does not continue the stream at the caller's place, so that it cannot be used further.
var ErrNotContinued = merry.Sentinel("response does not continue the stream")

// With returns the relay after data of the current response. The error is ErrNotContinued if the response cannot be used
// further; the text still goes to the caller.
func (r Relay) With(data []byte) (Relay, Passed, error) {
	var boundary int
	r.Response, boundary = r.Response.With(data)
	before := len(r.pending)
	whole := append(slices.Clip(r.pending), data...)
	if boundary == 0 {
		r.pending = whole
		return r, Passed{}, nil
	}
	r.pending = slices.Clone(whole[before+boundary:])
	var p Passed
	for _, e := range split(whole[:before+boundary]) {
		verdict := r.Place.Judge(e, !r.hasBegun)
		r.hasBegun = r.hasBegun || !e.IsFiller
		switch verdict {
		case Pass:
			p.Text = append(p.Text, e.Text...)
			r.Place = r.Place.With(e)
			continue
		case Repeated:
			p.Held = append(p.Held, Held{ID: e.ID, Verdict: verdict})
			continue
		}
		p.Held = append(p.Held, Held{ID: e.ID, Verdict: verdict})
		return r, p, merry.Prependf(ErrNotContinued, "event %q (%s), caller has %q", e.ID, verdict, r.Place.ID())
	}
	return r, p, nil
}

// Rest returns what a response that has ended has sent behind its last complete event.
func (r Relay) Rest() []byte { return r.pending }
