package request

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// Event is one numbered event of a streamed answer.
type Event struct {
	Sequence uint64
	Data     []byte
}

// EventLog is the events of one request and, at its end, the outcome.
type EventLog struct {
	mu       sync.Mutex
	events   []Event
	bytes    int
	outcome  *outcome.Record
	finished time.Time
	changed  chan struct{}
}

// NewEventLog makes the log of a request that has just begun.
func NewEventLog() *EventLog { return &EventLog{changed: make(chan struct{})} }

// Add appends event n; an event that is there already is dropped.
func (l *EventLog) Add(n uint64, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n != uint64(len(l.events))+1 || l.outcome != nil {
		return
	}
	l.events = append(l.events, Event{Sequence: n, Data: data})
	l.bytes += len(data)
	l.announce()
}

// Last is the number of the last event.
func (l *EventLog) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.events))
}

// Finish sets the outcome, once.
func (l *EventLog) Finish(now time.Time, o outcome.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcome != nil {
		return
	}
	l.outcome = &o
	l.finished = now
	l.bytes += len(o.Body)
	l.announce()
}

func (l *EventLog) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after gives the events after n, the outcome if there is one, and what to wait on for more.
func (l *EventLog) after(n uint64) ([]Event, *outcome.Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > uint64(len(l.events)) {
		n = uint64(len(l.events))
	}
	return l.events[n:], l.outcome, l.changed
}

// Follow hands each event after n to handle, then gives the outcome; it fails only if ctx ends or handle fails.
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
	keepFinished = time.Minute
	keepBytes    = 24 << 20
	pruneEvery   = time.Second
)

// Registry holds the logs of the requests that this node entered.
type Registry struct {
	mu     sync.Mutex
	logs   map[string]*EventLog
	order  []string
	pruned time.Time
}

// NewRegistry makes an empty registry.
func NewRegistry() *Registry { return &Registry{logs: map[string]*EventLog{}} }

// Open begins the log of a request.
func (r *Registry) Open(now time.Time, id string) *EventLog {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.pruned) >= pruneEvery {
		r.pruned = now
		r.prune(now)
	}
	l := NewEventLog()
	r.logs[id] = l
	r.order = append(r.order, id)
	return l
}

// Get gives the log of a request; false if it is not known here any more.
func (r *Registry) Get(id string) (*EventLog, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.logs[id]
	return l, ok
}

// prune drops finished logs that are old, and the oldest ones while they hold too much.
func (r *Registry) prune(now time.Time) {
	bytes := 0
	for _, l := range r.logs {
		bytes += l.size()
	}
	kept := r.order[:0]
	for _, id := range r.order {
		l := r.logs[id]
		age, done := l.age(now)
		if done && (age > keepFinished || bytes > keepBytes) {
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
