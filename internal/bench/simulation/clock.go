package simulation

import (
	"container/heap"
	"time"
)

// clock runs functions in virtual time, those due at the same time in the order in which they were added.
type clock struct {
	now          time.Time
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// runAt schedules run for t, or for now if t has passed.
func (c *clock) runAt(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.lastSequence++
	heap.Push(&c.events, event{at: t, sequence: c.lastSequence, run: run})
}

// runAfter schedules run for d from now.
func (c *clock) runAfter(d time.Duration, run func()) { c.runAt(c.now.Add(d), run) }

// run executes scheduled functions until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
