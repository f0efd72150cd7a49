package eventstream

import (
	"errors"
	"mime"
	"net/http"
)

// mediaType is the content type of a stream of events.
const mediaType = "text/event-stream"

// IsStream reports whether a response header announces a stream of events.
func IsStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == mediaType
}

// Progress is how far a stream has been read; the zero value is its start.
type Progress struct {
	// Events is the number of complete events.
	Events int
	// InEvent is set if the stream has begun an event and not completed it.
	InEvent bool
	// line is the state of the line being read.
	line line
	// afterCR is set if the last byte was a carriage return, so that a line feed belongs to the same line ending.
	afterCR bool
}

// line is the part of a line that has been read.
type line string

const (
	lineStart   line = ""
	lineComment line = "comment"
	lineField   line = "field"
)

// With returns the progress after data, and the length of data up to its last line ending between events, 0 if it has none.
// Lines may end with LF, CRLF or CR; comments belong to no event.
func (p Progress) With(data []byte) (Progress, int) {
	end := 0
	for i, b := range data {
		isRestOfCRLF := b == '\n' && p.afterCR
		p.afterCR = b == '\r'
		switch {
		case b == '\n' || b == '\r':
			if p.line == lineStart && p.InEvent && !isRestOfCRLF {
				p.Events++
				p.InEvent = false
			}
			p.line = lineStart
			if !p.InEvent {
				end = i + 1
			}
		case p.line == lineStart && b == ':':
			p.line = lineComment
		case p.line == lineStart:
			p.line = lineField
			p.InEvent = true
		}
	}
	return p, end
}

// The ways in which a stream shows that it ended early.
var (
	errInEvent = errors.New("stream ended inside an event")
	errNoEvent = errors.New("connection was closed before the first event")
)

// EndError returns why a stream that ended without a read error is truncated, or nil if it may be complete. explicit is
// set if the transport marked the end of the body: a closed connection alone does not tell an end from a crash.
func (p Progress) EndError(explicit bool) error {
	switch {
	case p.InEvent:
		return errInEvent
	case p.Events == 0 && !explicit:
		return errNoEvent
	default:
		return nil
	}
}
