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

// blockedWriter blocks until it is released, like a log reader that has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func newTestWriter(out io.Writer, queueSize int, rate int64) *BoundedWriter {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	return NewBoundedWriter(BoundedWriterConfig{Out: out, QueueSize: queueSize, LinesPerSecond: rate, Now: func() time.Time { return now }})
}

func TestBoundedWriterDoesNotBlockOnStalledOutput(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
	b := newTestWriter(s, 10, 1e6)
	started := time.Now()
	for range 1000 {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := time.Since(started), time.Second; got > want {
		t.Errorf("1000 lines took %s, want less than %s", got, want)
	}
	// One line is being written, ten are queued.
	if got, want := b.Dropped(), int64(989); got < want {
		t.Errorf("got %d dropped lines, want at least %d", got, want)
	}
	stop := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(stop) })
	b.Close(stop)
	close(s.release)
}

// TestBoundedWriterBoundsBytes covers long lines, such as ones with what a caller sent, while the log reader has stopped.
func TestBoundedWriterBoundsBytes(t *testing.T) {
	s := blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(BoundedWriterConfig{Out: s, QueueSize: 1000, QueueBytes: 1000, LinesPerSecond: 1e6, Now: time.Now})
	for range 100 {
		_, _ = b.Write(bytes.Repeat([]byte("x"), 100))
	}
	if got, want := b.Dropped(), int64(90); got != want {
		t.Errorf("got %d dropped lines, want %d", got, want)
	}
	close(s.release)
	b.Close(make(chan struct{}))
	if got, want := b.queued.Load(), int64(0); got != want {
		t.Errorf("got %d queued bytes after the last line, want %d", got, want)
	}
}

func TestBoundedWriterCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	b := newTestWriter(&out, 100, 1e6)
	for range 50 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close(make(chan struct{}))
	if got, want := strings.Count(out.String(), "line\n"), 50; got != want {
		t.Errorf("got %d written lines, want %d", got, want)
	}
}

// TestBoundedWriterLimitsRateAndReportsDropped covers a burst of requests that logs more than the rate allows.
func TestBoundedWriterLimitsRateAndReportsDropped(t *testing.T) {
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
		t.Errorf("got %d written lines of one second, want %d", got, want)
	}
	if !strings.Contains(out.String(), "after\n") {
		t.Error("the line of the next second is missing")
	}
	// The writer may report dropped lines in several parts; their sum and the last total must both be complete.
	sum, total := 0, 0
	for _, line := range strings.Split(out.String(), "\n") {
		var report struct{ Lines, All int }
		if strings.HasPrefix(line, "{") {
			if err := json.Unmarshal([]byte(line), &report); err != nil {
				t.Fatal(err)
			}
			sum, total = sum+report.Lines, report.All
		}
	}
	if want := 30; sum != want || total != want {
		t.Errorf("got %d reported dropped lines and %d in total, want %d: %q", sum, total, want, out.String())
	}
}

func TestLogTimeHasSubsecondPrecision(t *testing.T) {
	var out bytes.Buffer
	New(Config{Level: "info", Format: "json", Out: &out}).Info("node: started")
	var line struct{ Time string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if _, err := time.Parse(TimeFormat, line.Time); err != nil || !strings.Contains(line.Time, ".") {
		t.Errorf("got time %q (%v), want one with fractions of a second", line.Time, err)
	}
}

// BenchmarkLine measures the cost of one request's log line for the process that logs it.
func BenchmarkLine(b *testing.B) {
	out := NewBoundedWriter(BoundedWriterConfig{Out: io.Discard, QueueSize: 4096, LinesPerSecond: 1e12, Now: time.Now})
	log := New(Config{Level: "info", Format: "json", Out: out})
	fields := logrus.Fields{"request": "9c41d07be2a35f68", "route": "letters", "outcome": "answered", "status": 200, "ms": 812, "sends": 1, "target": "i-7f3a91c2", "version": 7}
	for b.Loop() {
		log.WithFields(fields).Info("gateway: request")
	}
}
