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

// Add appends event n; it drops an event that is not the next one, such as one already present, or follows the outcome.
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

// NewLogStore returns an empty store.
func NewLogStore() *LogStore { return &LogStore{logs: map[string]*EventLog{}} }

// Open creates the log of a request and prunes old logs.
func (s *LogStore) Open(now time.Time, id string) *EventLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) >= pruneInterval {
		s.pruned = now
		s.prune(now)
	}
	l := NewEventLog()
	s.logs[id] = l
	s.order = append(s.order, id)
	return l
}

// Get returns the log of a request; false if there is none any more.
func (s *LogStore) Get(id string) (*EventLog, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.logs[id]
	return l, ok
}

// prune drops finished logs that are past their retention, and the oldest finished ones while all logs exceed maxBytes.
func (s *LogStore) prune(now time.Time) {
	bytes := 0
	for _, l := range s.logs {
		bytes += l.size()
	}
	kept := s.order[:0]
	for _, id := range s.order {
		l := s.logs[id]
		age, done := l.age(now)
		if done && (age > finishedRetention || bytes > maxBytes) {
			bytes -= l.size()
			delete(s.logs, id)
			continue
		}
		kept = append(kept, id)
	}
	s.order = kept
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
