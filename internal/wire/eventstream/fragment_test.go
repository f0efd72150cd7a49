package eventstream

import (
	"bytes"
	"fmt"
	"testing"
)

// TestUnfinishedEventIsNotCopied guards against an event without end that is copied with each read that adds to it: many such streams
// made garbage faster than it was collected.
func TestUnfinishedEventIsNotCopied(t *testing.T) {
	const reads, size = 512, 1024
	data := bytes.Repeat([]byte("x"), size)
	copied := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			a := NewAssembler("")
			for range reads {
				a, _, _ = a.With(data)
			}
			if got, want := a.Size(), reads*size; got != want {
				b.Fatalf("got %d bytes kept, want %d", got, want)
			}
		}
	}).AllocedBytesPerOp()
	if most := int64(2 * reads * size); copied > most {
		t.Errorf("got %d bytes allocated for %d, want at most %d", copied, reads*size, most)
	}
}

// TestFragmentsShareTheirBeginning covers two texts that go on from the same one.
func TestFragmentsShareTheirBeginning(t *testing.T) {
	start := (*fragment)(nil).with([]byte("a")).with(nil).with([]byte("bc"))
	one, two := start.with([]byte("d")), start.with([]byte("ef"))
	got := fmt.Sprintf("%s %s %s %q %d", start.join(), one.join(), two.join(), (*fragment)(nil).join(), two.length())
	if want := `abc abcd abcef "" 5`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
