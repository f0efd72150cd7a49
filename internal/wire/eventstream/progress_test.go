package eventstream

import "testing"

func TestProgressFindsEventBoundaries(t *testing.T) {
	tests := []struct {
		name    string
		data    string
		events  int
		inEvent bool
		rest    string
	}{
		{name: "nothing"},
		{name: "blank lines only", data: "\n\n\r\n"},
		{name: "complete", data: "id: 1\ndata: x\n\n", events: 1},
		{name: "two complete", data: "id: 1\n\nid: 2\n\n", events: 2},
		{name: "CRLF", data: "id: 1\r\n\r\n", events: 1},
		{name: "CR", data: "id: 1\r\r", events: 1},
		{name: "mixed line endings", data: "id: 1\n\r\n", events: 1},
		{name: "ends in a field name", data: "id: 1\n\nda", events: 1, inEvent: true, rest: "da"},
		{name: "ends in a value", data: "data: x", inEvent: true, rest: "data: x"},
		{name: "ends after a line", data: "id: 1\n\nid: 2\n", events: 1, inEvent: true, rest: "id: 2\n"},
		{name: "ends after half a CRLF", data: "id: 1\r\nid: 2\r", inEvent: true, rest: "id: 1\r\nid: 2\r"},
		{name: "comment between events", data: "id: 1\n\n: ping\n", events: 1},
		{name: "unfinished comment between events", data: "id: 1\n\n: pi", events: 1, rest: ": pi"},
		{name: "comment in an event", data: "id: 1\n: ping\n", inEvent: true, rest: "id: 1\n: ping\n"},
		{name: "unfinished comment", data: ": pi", rest: ": pi"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, end := Progress{}.With([]byte(tt.data))
			if got.Events != tt.events || got.InEvent != tt.inEvent || tt.data[end:] != tt.rest {
				t.Errorf("got %d events, in an event %t, rest %q, want %d, %t, %q", got.Events, got.InEvent, tt.data[end:], tt.events, tt.inEvent, tt.rest)
			}
		})
	}
}

// TestProgressDoesNotDependOnReads checks that the same bytes give the same progress however they are split.
func TestProgressDoesNotDependOnReads(t *testing.T) {
	data := []byte("id: 1\r\ndata: x\r\n\r\n: ping\n\nid: 2\rdata: y\r\rid: 3\n\n\nid: 4\ndata")
	want, wantEnd := Progress{}.With(data)
	for i := range data {
		first, end := Progress{}.With(data[:i])
		got, secondEnd := first.With(data[i:])
		if secondEnd > 0 {
			end = i + secondEnd
		}
		// A boundary between a carriage return and its line feed is known only with the next byte.
		if got != want || (end != wantEnd && data[end] != '\n') {
			t.Errorf("split at %d: got %+v up to %d, want %+v up to %d", i, got, end, want, wantEnd)
		}
	}
}
