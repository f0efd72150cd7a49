package journal

import (
	"io"
	"sync/atomic"
)

// Bounded passes lines on to a writer without ever waiting for it; lines beyond the bound are counted and left out.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBounded starts to write to out; size is the number of lines that may wait.
func NewBounded(out io.Writer, size int) *Bounded {
	b := &Bounded{lines: make(chan []byte, size), done: make(chan struct{})}
	go b.run(out)
	return b
}

func (b *Bounded) run(out io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		// There is nowhere left to tell of a log that cannot be written.
		_, _ = out.Write(line)
	}
}

// Write takes one line; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	c := append(make([]byte, 0, len(line)), line...)
	select {
	case b.lines <- c:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were left out.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, unless the writer does not take it before stop is closed.
func (b *Bounded) Close(stop <-chan struct{}) {
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
