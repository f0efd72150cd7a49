package request

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// Event is one numbered event of a streamed response.
type Event struct {
	Sequence uint64
	Data     []byte
}

// EventLog holds the events of one request and, once it has ended, the outcome.
type EventLog struct {
	mu       sync.Mutex
	events   []Event
	bytes    int
	outcome  *outcome.Record
	finished time.Time
	changed  chan struct{}
}

// NewEventLog returns an empty log.
func NewEventLog() *EventLog { return &EventLog{changed: make(chan struct{})} }

// Add appends event n; an event that is already present is dropped.
func (l *EventLog) Add(n uint64, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n != uint64(len(l.events))+1 || l.outcome != nil {
		return
	}
	l.events = append(l.events, Event{Sequence: n, Data: data})
	l.bytes += len(data)
	l.notify()
}

// Last returns the number of the last event.
func (l *EventLog) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.events))
}

// Finish sets the outcome; later calls have no effect.
func (l *EventLog) Finish(now time.Time, o outcome.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcome != nil {
		return
	}
	l.outcome = &o
	l.finished = now
	l.bytes += len(o.Body)
	l.notify()
}

func (l *EventLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the events after n, the outcome if there is one, and a channel that is closed at the next change.
func (l *EventLog) after(n uint64) ([]Event, *outcome.Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > uint64(len(l.events)) {
		n = uint64(len(l.events))
	}
	return l.events[n:], l.outcome, l.changed
}

// Follow passes each event after n to handle, then returns the outcome; it fails only if ctx ends or handle fails.
func (l *EventLog) Follow(ctx context.Context, n uint64, handle func(Event) error) (outcome.Record, error) {
	for {
		events, end, changed := l.after(n)
		for _, e := range events {
			if err := handle(e); err != nil {
				return outcome.Record{}, err
			}
			n = e.Sequence
		}
		if end != nil {
			return *end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return outcome.Record{}, ctx.Err()
		}
	}
}

const (
	finishedRetention = time.Minute
	maxBytes          = 24 << 20
	pruneInterval     = time.Second
)

// LogStore holds the logs of the requests that this node coordinates.
type LogStore struct {
	mu     sync.Mutex
	logs   map[string]*EventLog
	order  []string
	pruned time.Time
}

// NewLogStore returns an empty registry.
func NewLogStore() *LogStore { return &LogStore{logs: map[string]*EventLog{}} }

// Open creates the log of a request and prunes old logs.
func (r *LogStore) Open(now time.Time, id string) *EventLog {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.pruned) >= pruneInterval {
		r.pruned = now
		r.prune(now)
	}
	l := NewEventLog()
	r.logs[id] = l
	r.order = append(r.order, id)
	return l
}

// Get returns the log of a request; false if there is none any more.
func (r *LogStore) Get(id string) (*EventLog, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.logs[id]
	return l, ok
}

// prune drops finished logs that are past their retention, and the oldest finished ones while all logs exceed maxBytes.
func (r *LogStore) prune(now time.Time) {
	bytes := 0
	for _, l := range r.logs {
		bytes += l.size()
	}
	kept := r.order[:0]
	for _, id := range r.order {
		l := r.logs[id]
		age, done := l.age(now)
		if done && (age > finishedRetention || bytes > maxBytes) {
			bytes -= l.size()
			delete(r.logs, id)
			continue
		}
		kept = append(kept, id)
	}
	r.order = kept
}

func (l *EventLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *EventLog) age(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.finished), l.outcome != nil
}
