package journal

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stuck is a reader of the log that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBoundedNeverWaitsForAStoppedReader(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	b := NewBounded(s, 10)
	started := time.Now()
	for range 1000 {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := time.Since(started), time.Second; got > want {
		t.Errorf("1000 lines took %s, want less than %s", got, want)
	}
	// One line is with the reader, ten wait.
	if got, want := b.Dropped(), int64(989); got < want {
		t.Errorf("%d lines were left out, want at least %d", got, want)
	}
	stop := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(stop) })
	b.Close(stop)
	close(s.release)
}

func TestBoundedWritesWhatWaitsAtItsEnd(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 100)
	for range 50 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close(make(chan struct{}))
	if got, want := strings.Count(out.String(), "line\n"), 50; got != want {
		t.Errorf("%d lines were written, want %d", got, want)
	}
}
