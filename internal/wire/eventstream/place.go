package eventstream

import (
	"bytes"
	"strconv"
)

// Verdict is what becomes of an event that a target has sent.
type Verdict string

// Verdicts; all but Pass and Repeated end the response, so that another target may continue the stream.
const (
	// Pass passes the event on.
	Pass Verdict = "pass"
	// Repeated holds back an event that the caller has; the response goes on behind it.
	Repeated Verdict = "repeated"
	// Behind is an event at or before the caller's place: the target has started the stream again, and its run is another one.
	Behind Verdict = "behind"
	// Gap is an event that does not follow the caller's place.
	Gap Verdict = "gap"
	// Unnamed is the first event of a continued stream if its ID cannot be compared with the caller's place.
	Unnamed Verdict = "unnamed"
	// Failed is an error in place of the first event with which a target was to continue a stream.
	Failed Verdict = "error"
	// Response is the head of another response: the target has broken the stream off and answers anew.
	Response Verdict = "response"
)

// Place is how far a caller has a stream; the zero value is its start.
type Place struct {
	// id is the ID of the caller's last event, "" for none.
	id string
	// text is the caller's last event, nil if it came from elsewhere.
	text []byte
	// isFirst is set if the last event is the first one of the stream.
	isFirst bool
	// isUnnamed is set once an event without an ID has passed.
	isUnnamed bool
	// hasUnitStep is set if an ID was one more than the ID before it, hasLongStep if it was more.
	hasUnitStep, hasLongStep bool
}

// PlaceAfter returns the place of a caller that has all events up to one with an ID, "" for none.
func PlaceAfter(id string) Place { return Place{id: id} }

// ID returns the ID of the caller's last event, "" for none.
func (p Place) ID() string { return p.id }

// CanContinue reports whether the ID names the caller's place, so that another target can continue the stream.
func (p Place) CanContinue() bool { return !p.isUnnamed }

// hasEvent reports whether the caller's last event was passed to it here.
func (p Place) hasEvent() bool { return p.text != nil }

// Judge returns what becomes of an event; begins is set for the first event of a response.
func (p Place) Judge(e Event, begins bool) Verdict {
	switch {
	case e.IsFiller || p.id == "":
		return Pass
	case !e.HasID || e.ID == "":
		return unlessBegins(begins)
	case e.ID == p.id:
		// A target that starts again from the first event of a stream cannot be told from one that repeats the last event.
		if p.hasEvent() && bytes.Equal(trimLineEndings(e.Text), p.text) && !(begins && p.isFirst) {
			return Repeated
		}
		return Behind
	}
	number, isNumber := parseID(e.ID)
	last, lastIsNumber := parseID(p.id)
	switch {
	case isNumber != lastIsNumber:
		return unlessBegins(begins)
	case !isNumber:
		return Pass
	case number < last:
		return Behind
	case number > last+1 && p.hasUnitStep && !p.hasLongStep:
		return Gap
	default:
		return Pass
	}
}

// unlessBegins returns the verdict on an event whose ID cannot be compared with the caller's place.
func unlessBegins(begins bool) Verdict {
	if begins {
		return Unnamed
	}
	return Pass
}

// With returns the place after an event that was passed on.
func (p Place) With(e Event) Place {
	if e.IsFiller {
		return p
	}
	if !e.HasID || e.ID == "" {
		p.isUnnamed = true
		return p
	}
	number, isNumber := parseID(e.ID)
	last, lastIsNumber := parseID(p.id)
	if isNumber && lastIsNumber {
		p.hasUnitStep = p.hasUnitStep || number == last+1
		p.hasLongStep = p.hasLongStep || number != last+1
	}
	p.isFirst = p.id == "" && !p.isUnnamed
	p.id, p.text = e.ID, bytes.Clone(trimLineEndings(e.Text))
	return p
}

func trimLineEndings(text []byte) []byte { return bytes.Trim(text, "\r\n") }

func parseID(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}
