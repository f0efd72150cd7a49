package logging

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriterConfig is what a bounded writer is made of.
type BoundedWriterConfig struct {
	Out io.Writer
	// QueueSize is the number of lines that may wait for a slow reader.
	QueueSize int
	// LinesPerSecond is the number of lines that are taken in one second of the clock.
	LinesPerSecond int64
	Now            func() time.Time
}

// BoundedWriter passes lines on to a writer without ever waiting for it; lines beyond the bounds are counted and left out.
type BoundedWriter struct {
	cfg     BoundedWriterConfig
	lines   chan []byte
	dropped atomic.Int64
	// second is the second that taken counts the lines of.
	second atomic.Int64
	taken  atomic.Int64
	done   chan struct{}
}

// NewBoundedWriter starts to write to cfg.Out.
func NewBoundedWriter(cfg BoundedWriterConfig) *BoundedWriter {
	b := &BoundedWriter{cfg: cfg, lines: make(chan []byte, cfg.QueueSize), done: make(chan struct{})}
	go b.run()
	return b
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var told int64
	for line := range b.lines {
		if n := b.dropped.Load(); n > told {
			b.tell(n-told, n)
			told = n
		}
		if line == nil {
			return
		}
		// There is nowhere left to tell of a log that cannot be written.
		_, _ = b.cfg.Out.Write(line)
	}
}

// tell writes how many lines are missing before the next one.
func (b *BoundedWriter) tell(lines, all int64) {
	data, err := json.Marshal(map[string]any{
		"level": "warning", "msg": "journal: lines were left out", "lines": lines, "all": all, "time": b.cfg.Now().Format(TimeFormat),
	})
	if err != nil {
		return
	}
	_, _ = b.cfg.Out.Write(append(data, '\n'))
}

// within counts one more line and tells whether the rate allows it.
func (b *BoundedWriter) within() bool {
	second := b.cfg.Now().Unix()
	if b.second.Swap(second) != second {
		b.taken.Store(0)
	}
	return b.taken.Add(1) <= b.cfg.LinesPerSecond
}

// Write takes one line; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.within() {
		b.dropped.Add(1)
		return len(line), nil
	}
	c := append(make([]byte, 0, len(line)), line...)
	select {
	case b.lines <- c:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were left out.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, unless the writer does not take it before stop is closed.
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
