package eventstream

import (
	"bytes"
	"slices"
	"strings"
)

// Event is a complete event of a stream with its line endings, or the blank lines and comments between two events.
type Event struct {
	Text []byte
	// ID is the event's ID; an event without one leaves HasID unset.
	ID    string
	HasID bool
	// IsError is set if the event is of the type that names an error.
	IsError bool
	// HasHead is set if a line belongs to the head of an HTTP response.
	HasHead bool
	// IsFiller is set for blank lines and comments between events.
	IsFiller bool
}

// errorType is the type of an event with which a target reports an error.
const errorType = "error"

// split cuts text that ends between two events into its events and what is between them.
func split(text []byte) []Event {
	var list []Event
	start, e := 0, Event{IsFiller: true}
	add := func(end int) {
		if end > start {
			e.Text = text[start:end]
			list = append(list, e)
		}
		start, e = end, Event{IsFiller: true}
	}
	for at := 0; at < len(text); {
		line, end := cutLine(text, at)
		switch {
		case len(line) == 0 && !e.IsFiller:
			add(end)
		case len(line) == 0:
		case line[0] == ':':
			e.HasHead = e.HasHead || bytes.Contains(line, statusLinePrefix)
		default:
			if e.IsFiller {
				add(at)
				e.IsFiller = false
			}
			e.HasHead = e.HasHead || isHeadLine(line)
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.ID, e.HasID = strings.TrimSpace(string(value)), true
			}
			if value, ok := bytes.CutPrefix(line, []byte("event:")); ok {
				e.IsError = string(bytes.TrimSpace(value)) == errorType
			}
		}
		at = end
	}
	add(len(text))
	return list
}

// statusLinePrefix begins the first line of a response.
var statusLinePrefix = []byte("HTTP/1.")

// headNames are the header fields of which a response has one at least; streams of events have no fields of these names.
var headNames = []string{"Connection", "Content-Length", "Content-Type", "Date", "Transfer-Encoding"}

// isHeadLine reports whether a line of a stream belongs to the head of a response. A status line behind a part of another line is not
// recognised, but the fields that follow it are.
func isHeadLine(line []byte) bool {
	if bytes.HasPrefix(line, statusLinePrefix) {
		return true
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && slices.ContainsFunc(headNames, func(n string) bool { return strings.EqualFold(n, string(name)) })
}

// cutLine returns the line that begins at an index, and the index behind its line ending: LF, CRLF or CR.
func cutLine(text []byte, at int) (line []byte, end int) {
	n := bytes.IndexAny(text[at:], "\r\n")
	if n < 0 {
		return text[at:], len(text)
	}
	end = at + n + 1
	if text[at+n] == '\r' && end < len(text) && text[end] == '\n' {
		end++
	}
	return text[at : at+n], end
}
