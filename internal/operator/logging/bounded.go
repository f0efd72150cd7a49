package logging

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriterConfig configures a BoundedWriter.
type BoundedWriterConfig struct {
	Out io.Writer
	// QueueSize is the number of lines that may wait for a slow output.
	QueueSize int
	// QueueBytes is the number of bytes that these lines may have together, 0 for no bound. A line may name what a caller sent.
	QueueBytes int64
	// LinesPerSecond is the number of lines that are accepted in one second of the clock.
	LinesPerSecond int64
	Now            func() time.Time
}

// BoundedWriter forwards lines to a writer without ever blocking on it; lines beyond the limits are counted and dropped.
type BoundedWriter struct {
	cfg     BoundedWriterConfig
	lines   chan []byte
	dropped atomic.Int64
	// queued are the bytes of the lines that wait or are being written.
	queued atomic.Int64
	// second is the clock second in which accepted counts lines.
	second   atomic.Int64
	accepted atomic.Int64
	done     chan struct{}
}

// NewBoundedWriter returns a writer that forwards lines to cfg.Out in the background.
func NewBoundedWriter(cfg BoundedWriterConfig) *BoundedWriter {
	b := &BoundedWriter{cfg: cfg, lines: make(chan []byte, cfg.QueueSize), done: make(chan struct{})}
	go b.run()
	return b
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var reported int64
	for line := range b.lines {
		if n := b.dropped.Load(); n > reported {
			b.reportDropped(n-reported, n)
			reported = n
		}
		if line == nil {
			return
		}
		// An error of the log itself cannot be reported anywhere.
		_, _ = b.cfg.Out.Write(line)
		b.queued.Add(-int64(len(line)))
	}
}

// reportDropped logs how many lines were dropped before the next one.
func (b *BoundedWriter) reportDropped(lines, total int64) {
	data, err := json.Marshal(map[string]any{
		"level": "warning", "msg": "journal: lines were left out", "lines": lines, "all": total, "time": b.cfg.Now().Format(TimeFormat),
	})
	if err != nil {
		return
	}
	_, _ = b.cfg.Out.Write(append(data, '\n'))
}

// allow counts one more line and reports whether it is within the rate.
func (b *BoundedWriter) allow() bool {
	second := b.cfg.Now().Unix()
	if b.second.Swap(second) != second {
		b.accepted.Store(0)
	}
	return b.accepted.Add(1) <= b.cfg.LinesPerSecond
}

// Write queues or drops one line; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	size := int64(len(line))
	if queued := b.queued.Add(size); b.cfg.QueueBytes > 0 && queued > b.cfg.QueueBytes {
		b.queued.Add(-size)
		b.dropped.Add(1)
		return len(line), nil
	}
	c := append(make([]byte, 0, len(line)), line...)
	select {
	case b.lines <- c:
	default:
		b.queued.Add(-size)
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines, unless stop is closed before the output has accepted them.
func (b *BoundedWriter) Close(stop <-chan struct{}) {
	select {
	case b.lines <- nil:
	case <-stop:
		return
	}
	select {
	case <-b.done:
	case <-stop:
	}
}
