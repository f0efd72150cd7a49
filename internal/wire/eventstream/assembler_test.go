package eventstream

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestAssemblerPassesEachEventOnce(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	tests := []struct {
		name  string
		after string
		// responses are what targets send one after the other.
		responses []string
		want      string
		held      []Verdict
		broken    bool
		continues bool
	}{
		{name: "whole", responses: []string{one + two + three}, want: one + two + three, continues: true},
		{name: "cut in an event", responses: []string{one + two + "id: 3\nda", three}, want: one + two + three, continues: true},
		{name: "resumed by its caller", after: "1", responses: []string{"id: 2\nda", two + three}, want: two + three, continues: true},
		{name: "started again for a caller that resumes", after: "2", responses: []string{one + two + three}, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "started again at the caller's last event", after: "1", responses: []string{one + two}, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "started again", responses: []string{one + two, one + two + three}, want: one + two, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "started again after its first event", responses: []string{one, one + two}, want: one, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "last event again", responses: []string{one + two, two + three}, want: one + two + three, held: []Verdict{Repeated}, continues: true},
		{name: "last event again with other line endings", responses: []string{one + two, "id: 2\ndata: b\r\n\r\n" + three}, want: one + two + three, held: []Verdict{Repeated}, continues: true},
		{name: "last event again with another text", responses: []string{one + two, "id: 2\ndata: z\n\n" + three}, want: one + two, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "event twice in one response", responses: []string{one + two + two + three}, want: one + two + three, held: []Verdict{Repeated}, continues: true},
		{name: "not rising in one response", responses: []string{one + two + one}, want: one + two, held: []Verdict{Behind}, broken: true, continues: true},
		{name: "gap in one response", responses: []string{one + two + "id: 4\n\n"}, want: one + two, held: []Verdict{Gap}, broken: true, continues: true},
		{name: "gap between two responses", responses: []string{one + two, "id: 4\n\n"}, want: one + two, held: []Verdict{Gap}, broken: true, continues: true},
		{name: "uneven steps", responses: []string{"id: 2\n\nid: 5\n\nid: 6\n\nid: 9\n\n"}, want: "id: 2\n\nid: 5\n\nid: 6\n\nid: 9\n\n", continues: true},
		{name: "no IDs", responses: []string{"data: a\n\ndata: b\n\n"}, want: "data: a\n\ndata: b\n\n"},
		{name: "event without an ID behind others", responses: []string{one + "data: end\n\n"}, want: one + "data: end\n\n"},
		{name: "continued without an ID", responses: []string{one + two, "data: c\n\n"}, want: one + two, held: []Verdict{Unnamed}, broken: true, continues: true},
		{name: "continued with an error", responses: []string{one + two, "id: 3\nevent: error\ndata: c\n\n" + three}, want: one + two, held: []Verdict{Failed}, broken: true, continues: true},
		{name: "continued with an error behind the last event", responses: []string{one + two, ": ping\n\n" + two + "event:error\n\n"}, want: one + two + ": ping\n\n", held: []Verdict{Repeated, Failed}, broken: true, continues: true},
		{name: "error behind an event of the same response", responses: []string{one + two, three + "event: error\n\n"}, want: one + two + three + "event: error\n\n"},
		{name: "error for a caller that resumes", after: "1", responses: []string{"id: 2\nevent: error\n\n"}, want: "id: 2\nevent: error\n\n", continues: true},
		{name: "error at the start", responses: []string{"event: error\n\n"}, want: "event: error\n\n"},
		{name: "other type", responses: []string{one + two, "event: errors\nid: 3\n\n"}, want: one + two + "event: errors\nid: 3\n\n", continues: true},
		{name: "head of a response", responses: []string{one + two + "HTTP/1.1 500 X\r\nA: b\r\n\r\nboom\n\n"}, want: one + two, held: []Verdict{Response}, broken: true, continues: true},
		{name: "head of a response in an event", responses: []string{one + "id: 2\ndaHTTP/1.1 500 X\r\ncontent-length: 4\r\n\r\nboom"}, want: one, held: []Verdict{Response}, broken: true, continues: true},
		{name: "head of a response in a comment", responses: []string{one + ": piHTTP/1.1 500 X\r\n", "\r\n"}, want: one + "\r\n", held: []Verdict{Response}, continues: true},
		{name: "head of a response in the data", responses: []string{one + "id: 2\ndata: HTTP/1.1 200 OK\ndata: Date: now\n\n"}, want: one + "id: 2\ndata: HTTP/1.1 200 OK\ndata: Date: now\n\n", continues: true},
		{name: "IDs that are no numbers", responses: []string{"id: a\n\nid: c\n\n", "id: b\n\n"}, want: "id: a\n\nid: c\n\nid: b\n\n", continues: true},
		{name: "comments", after: "1", responses: []string{": ping\n\n", ": ping\n\n" + two}, want: ": ping\n\n: ping\n\n" + two, continues: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewAssembler(tt.after)
			got, broken := "", false
			var held []Verdict
			for _, response := range tt.responses {
				r = r.WithResponse()
				var p Passed
				var err error
				r, p, err = r.With([]byte(response))
				got += string(p.Text)
				for _, h := range p.Held {
					held = append(held, h.Verdict)
				}
				broken = errors.Is(err, ErrNotContinued)
			}
			if got != tt.want || broken != tt.broken || fmt.Sprint(held) != fmt.Sprint(tt.held) {
				t.Errorf("got %q, held %v, broken off %t, want %q, %v, %t", got, held, broken, tt.want, tt.held, tt.broken)
			}
			if got, want := r.Place.CanContinue(), tt.continues; got != want {
				t.Errorf("got a place that another target can continue from: %t, want %t", got, want)
			}
		})
	}
}

// TestEventThatWasBegunIsDue covers responses that end between two events while an earlier one has ended inside an event.
func TestEventThatWasBegunIsDue(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := []struct {
		name, after string
		responses   []string
		complete    bool
	}{
		{name: "nothing follows", responses: []string{one + "id: 2\nda", ""}},
		{name: "nothing follows the caller's place", after: "1", responses: []string{"id: 2\nda", ""}},
		{name: "comment", responses: []string{one + "id: 2\nda", ": ping\n\n"}},
		{name: "last event again", responses: []string{one + two + "id: 3", two}},
		{name: "two responses later", responses: []string{one + "id: 2", "", ""}},
		{name: "next event", responses: []string{one + "id: 2\nda", two}, complete: true},
		{name: "next event after a response without one", responses: []string{one + "id: 2\nda", "", two}, complete: true},
		{name: "cut between events", responses: []string{one + two, ""}, complete: true},
		{name: "cut in a comment", responses: []string{one + ": pi", ""}, complete: true},
		{name: "nothing follows a head in an event", responses: []string{one + "id: 2\ndaHTTP/1.1 500 X\nDate: now\n\n", ""}},
		{name: "nothing follows a head between events", responses: []string{one + "HTTP/1.1 500 X\n\n", ""}, complete: true},
		{name: "begun by a response that was not used", responses: []string{one + two, one + "id: 2\nda", ""}, complete: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAssembler(tt.after)
			for _, response := range tt.responses {
				a, _, _ = a.WithResponse().With([]byte(response))
			}
			if err := a.EndError(true); (err == nil) != tt.complete {
				t.Errorf("got %v, want complete %t", err, tt.complete)
			}
		})
	}
}

// streamText returns the events of a run from one number to the last one; CR, LF or CRLF ends its lines.
func streamText(run byte, from, last int, lineEnding string) string {
	var b strings.Builder
	for n := from; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: %c-%d%s%s", n, lineEnding, run, n, lineEnding, lineEnding)
	}
	return b.String()
}

// FuzzAssembler cuts responses at any byte, hands them over in reads of any length, and lets targets continue a stream, repeat its
// last event or start another run of it. A caller gets the events of one run that follow its place, each once and in order.
func FuzzAssembler(f *testing.F) {
	f.Add(uint8(0), []byte{0, 200, 5, 0, 1, 9})
	f.Add(uint8(2), []byte{0, 3, 5, 1, 200, 9, 2, 200, 1})
	f.Add(uint8(1), []byte{3, 40, 2, 4, 41, 3, 8, 200, 7})
	f.Fuzz(func(t *testing.T, after uint8, script []byte) {
		const last = 6
		place := int(after % last)
		id := ""
		if place > 0 {
			id = fmt.Sprint(place)
		}
		r := NewAssembler(id)
		got := ""
		for i := 0; i+2 < len(script) && i < 30; i += 3 {
			at := 0
			_, _ = fmt.Sscan(r.Place.ID(), &at)
			lineEnding := []string{"\n", "\r\n", "\r"}[script[i]/4%3]
			run, other := byte('a'), byte('b')
			if strings.Contains(got, "b-") {
				run, other = other, run
			}
			var text string
			switch script[i] % 4 {
			case 0:
				text = streamText(run, at+1, last, lineEnding)
			case 1:
				text = streamText(run, max(at, 1), last, lineEnding)
			case 2:
				text = streamText(run, 1, last, lineEnding)
			case 3:
				// Another run can only be told from the one that the caller has if it starts from the beginning.
				text = streamText(other, 1, last, lineEnding)
			}
			text = text[:min(int(script[i+1]), len(text))]
			size := 1 + int(script[i+2])
			r = r.WithResponse()
			for len(text) > 0 {
				n := min(size, len(text))
				var p Passed
				var err error
				r, p, err = r.With([]byte(text[:n]))
				got += string(p.Text)
				text = text[n:]
				if err != nil {
					break
				}
			}
		}
		normal := strings.ReplaceAll(strings.ReplaceAll(got, "\r\n", "\n"), "\r", "\n")
		count := strings.Count(normal, "id: ")
		isOneRun := false
		for _, run := range []byte("ab") {
			want := streamText(run, place+1, place+count, "\n")
			isOneRun = isOneRun || strings.ReplaceAll(normal, "\n", "") == strings.ReplaceAll(want, "\n", "")
		}
		if !isOneRun {
			t.Errorf("got %q after %d, want events of one run that follow each other", got, place)
		}
	})
}
