package plan

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Shape is the stages of one request.
type Shape struct {
	Stages []route.Stage
	// Pieces is the number of pieces of each stage; stages without a number have none.
	Pieces []int
	// Terms gives what a target of a service takes in a call.
	Terms func(service string) route.Batch
	// Rest is the time from the last stage to the answer.
	Rest time.Duration
}

// Tails gives for each stage the least time from the start of its last call to the answer of the request.
func (s Shape) Tails() []time.Duration {
	tails := make([]time.Duration, len(s.Stages))
	set := make([]bool, len(s.Stages))
	var tail func(i int) time.Duration
	tail = func(i int) time.Duration {
		if set[i] {
			return tails[i]
		}
		set[i] = true
		rest := s.Rest
		for k, next := range s.Stages {
			for _, a := range next.After {
				if a == i {
					rest = max(rest, tail(k))
				}
			}
		}
		tails[i] = rest + s.own(i)
		return tails[i]
	}
	for i := range s.Stages {
		tail(i)
	}
	return tails
}

// own is the time of a call with the pieces of a stage.
func (s Shape) own(i int) time.Duration {
	if i >= len(s.Pieces) || s.Pieces[i] == 0 {
		return 0
	}
	b := s.Terms(s.Stages[i].Service)
	return b.Took(min(s.Pieces[i], b.Size))
}

// minReturn keeps refused callers from coming back into the same moment.
const minReturn = 100 * time.Millisecond

// Return is when a refused caller should come back: once so much of the wait is over that its request fits.
func Return(now time.Time, wait time.Duration, end time.Time) time.Duration {
	return max(minReturn, wait-end.Sub(now)/2)
}
