package eventstream

import (
	"bytes"
	"testing"
)

// reference parses a whole stream line by line: it returns the number of complete events and whether the stream ends in one.
func reference(data []byte) (events int, inEvent bool) {
	text := bytes.ReplaceAll(bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
	for len(text) > 0 {
		line, rest, isComplete := bytes.Cut(text, []byte("\n"))
		switch {
		case len(line) == 0 && isComplete && inEvent:
			events++
			inEvent = false
		case len(line) > 0 && line[0] != ':':
			inEvent = true
		}
		text = rest
	}
	return events, inEvent
}

// FuzzProgress compares streams that are read in two parts with a parser of whole streams.
func FuzzProgress(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: x\n\n", "id: 1\r\n\r\nid: 2\r\r", ": ping\n\nid: 3\nda", "\r\n\n\r", "data\n:x\n\n", "id: 1\r\n\r"} {
		f.Add([]byte(seed), len(seed)/2)
	}
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		split = min(max(split, 0), len(data))
		first, firstEnd := Progress{}.With(data[:split])
		got, secondEnd := first.With(data[split:])
		events, inEvent := reference(data)
		if got.Events != events || got.InEvent != inEvent {
			t.Errorf("got %d events, in an event %t, want %d, %t", got.Events, got.InEvent, events, inEvent)
		}
		if n, in := reference(data[:firstEnd]); n != first.Events || in {
			t.Errorf("got %d events up to the boundary at %d, in an event %t, want %d", n, firstEnd, in, first.Events)
		}
		if secondEnd > 0 {
			if n, in := reference(data[:split+secondEnd]); n != got.Events || in {
				t.Errorf("got %d events up to the boundary at %d, in an event %t, want %d", n, split+secondEnd, in, got.Events)
			}
		}
	})
}
