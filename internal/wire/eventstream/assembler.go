package eventstream

import (
	"bytes"

	"github.com/ansel1/merry/v2"
)

// Assembler assembles one stream for a caller from the responses of one or more targets; the zero value is the start of a stream.
type Assembler struct {
	// Place is how far the caller has the stream.
	Place Place
	// Response is how far the current response has been read.
	Response Progress
	// pending is the part of the current response that follows its last complete event, nil for nothing.
	pending *fragment
	// hasBegun is set once the current response has brought an event.
	hasBegun bool
	// hasPassed is set once an event of the current response has been passed.
	hasPassed bool
	// isEventDue is set if an earlier response ended inside an event and none has been passed since.
	isEventDue bool
}

// NewAssembler returns the assembler of a caller that has all events up to one with an ID, "" for none.
func NewAssembler(after string) Assembler { return Assembler{Place: PlaceAfter(after)} }

// WithResponse returns the assembler at the start of another response.
func (a Assembler) WithResponse() Assembler {
	return Assembler{Place: a.Place, isEventDue: a.isEventDue || (a.Response.InEvent && a.pending != nil)}
}

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

// With returns the assembler after data of the current response. The error is ErrNotContinued if the response cannot be used
// further; the text still goes to the caller.
func (a Assembler) With(data []byte) (Assembler, Passed, error) {
	var boundary int
	a.Response, boundary = a.Response.With(data)
	if boundary == 0 {
		a.pending = a.pending.with(data)
		return a, Passed{}, nil
	}
	complete := a.pending.with(data[:boundary]).join()
	a.pending = (*fragment)(nil).with(data[boundary:])
	var p Passed
	for _, e := range split(complete) {
		verdict := a.judge(e)
		a.hasBegun = a.hasBegun || !e.IsFiller
		switch verdict {
		case Pass:
			p.Text = append(p.Text, e.Text...)
			a.Place = a.Place.With(e)
			a.hasPassed = a.hasPassed || !e.IsFiller
			a.isEventDue = a.isEventDue && e.IsFiller
			continue
		case Repeated:
			p.Held = append(p.Held, Held{ID: e.ID, Verdict: verdict})
			continue
		}
		p.Held = append(p.Held, Held{ID: e.ID, Verdict: verdict})
		if verdict == Response && !e.IsFiller && !bytes.HasPrefix(e.Text, statusLinePrefix) {
			a.isEventDue = true
		}
		// What follows is not the caller's stream and tells nothing of it.
		a.pending = nil
		return a, p, merry.Prependf(ErrNotContinued, "event %q (%s), caller has %q", e.ID, verdict, a.Place.ID())
	}
	return a, p, nil
}

// judge returns what becomes of an event of the current response.
func (a Assembler) judge(e Event) Verdict {
	if e.HasHead {
		return Response
	}
	if e.IsError && !a.hasPassed && a.Place.hasEvent() {
		return Failed
	}
	return a.Place.Judge(e, !a.hasBegun)
}

// EndError returns why the current response, which ended without a read error, does not complete the stream, or nil if it may;
// explicit is as for Progress.
func (a Assembler) EndError(explicit bool) error {
	if err := a.Response.EndError(explicit); err != nil {
		return err
	}
	if a.isEventDue {
		return merry.Prepend(ErrNotContinued, "ended before an event that an earlier response had begun")
	}
	return nil
}

// Size returns the number of bytes that the assembler keeps of the stream.
func (a Assembler) Size() int { return a.pending.length() + len(a.Place.text) }

// Rest returns what a response that has ended has sent behind its last complete event.
func (a Assembler) Rest() []byte { return a.pending.join() }
