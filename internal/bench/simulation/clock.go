package simulation

import (
	"container/heap"
	"time"
)

// clock runs functions at their time, in the order of time and then of their adding.
type clock struct {
	now    time.Time
	events events
	added  int
}

type event struct {
	at  time.Time
	nth int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].nth < e[j].nth
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// at has run called at a time, at once if that is over.
func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.added++
	heap.Push(&c.events, event{at: t, nth: c.added, run: run})
}

// after has run called once d is over.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// run goes on until nothing is left to do.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
