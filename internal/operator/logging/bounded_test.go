package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stuck is a reader of the log that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func bounded(out io.Writer, waiting int, rate int64) *BoundedWriter {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	return NewBoundedWriter(BoundedWriterConfig{Out: out, QueueSize: waiting, LinesPerSecond: rate, Now: func() time.Time { return now }})
}

func TestBoundedNeverWaitsForAStoppedReader(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	b := bounded(s, 10, 1e6)
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
	b := bounded(&out, 100, 1e6)
	for range 50 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close(make(chan struct{}))
	if got, want := strings.Count(out.String(), "line\n"), 50; got != want {
		t.Errorf("%d lines were written, want %d", got, want)
	}
}

// TestBoundedKeepsItsRateAndTellsWhatIsMissing replays a burst of requests that logs more than the budget.
func TestBoundedKeepsItsRateAndTellsWhatIsMissing(t *testing.T) {
	var out bytes.Buffer
	var offset atomic.Int64
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	b := NewBoundedWriter(BoundedWriterConfig{Out: &out, QueueSize: 1000, LinesPerSecond: 20, Now: func() time.Time { return start.Add(time.Duration(offset.Load())) }})
	for range 50 {
		_, _ = b.Write([]byte("line\n"))
	}
	offset.Store(int64(time.Second))
	_, _ = b.Write([]byte("after\n"))
	b.Close(make(chan struct{}))
	if got, want := strings.Count(out.String(), "line\n"), 20; got != want {
		t.Errorf("%d lines of one second were written, want %d", got, want)
	}
	if !strings.Contains(out.String(), "after\n") {
		t.Error("the line of the next second is missing")
	}
	// The writer may tell in parts, as it goes; together and in the last count nothing may be missing.
	sum, all := 0, 0
	for _, line := range strings.Split(out.String(), "\n") {
		var told struct{ Lines, All int }
		if strings.HasPrefix(line, "{") {
			if err := json.Unmarshal([]byte(line), &told); err != nil {
				t.Fatal(err)
			}
			sum, all = sum+told.Lines, told.All
		}
	}
	if want := 30; sum != want || all != want {
		t.Errorf("told of %d lines left out and %d in all, want %d: %q", sum, all, want, out.String())
	}
}

func TestLinesTellTheMillisecond(t *testing.T) {
	var out bytes.Buffer
	New(Config{Level: "info", Format: "json", Out: &out}).Info("node: started")
	var line struct{ Time string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if _, err := time.Parse(TimeFormat, line.Time); err != nil || !strings.Contains(line.Time, ".") {
		t.Errorf("got time %q (%v), want one with parts of a second", line.Time, err)
	}
}

// BenchmarkLine is what one line of a request costs the process that logs it.
func BenchmarkLine(b *testing.B) {
	out := NewBoundedWriter(BoundedWriterConfig{Out: io.Discard, QueueSize: 4096, LinesPerSecond: 1e12, Now: time.Now})
	log := New(Config{Level: "info", Format: "json", Out: out})
	fields := logrus.Fields{"request": "9c41d07be2a35f68", "route": "letters", "outcome": "answered", "status": 200, "ms": 812, "sends": 1, "target": "i-7f3a91c2", "version": 7}
	for b.Loop() {
		log.WithFields(fields).Info("gateway: request")
	}
}
