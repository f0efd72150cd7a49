package budget

import (
	"sync"
	"time"
)

// slices is into how many parts a window is cut; the oldest part leaves at once.
const slices = 10

// shareUsed is how much of the fleet's budget the nodes use together: requests are spread unevenly over nodes, and
// the windows of different nodes end at different times.
const shareUsed = 0.8

// RetryLimits are the fleet's bound on repeats in a window.
type RetryLimits struct {
	// Ratio is the repeats for each request, Extra those beyond them for all nodes together.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// RetryWindow counts requests and repeats of one service at one node over a sliding window; it is safe for concurrent use.
//
// It answers clients and nodes that repeat on top of each other while a service fails.
type RetryWindow struct {
	mu       sync.Mutex
	start    time.Time
	requests [slices]int
	repeats  [slices]int
}

func (w *RetryWindow) turn(now time.Time, window time.Duration) {
	step := window / slices
	if w.start.IsZero() || now.Sub(w.start) >= 2*window {
		w.start = now
		w.requests, w.repeats = [slices]int{}, [slices]int{}
		return
	}
	for now.Sub(w.start) >= step {
		copy(w.requests[1:], w.requests[:slices-1])
		copy(w.repeats[1:], w.repeats[:slices-1])
		w.requests[0], w.repeats[0] = 0, 0
		w.start = w.start.Add(step)
	}
}

// CountRequest counts a request.
func (w *RetryWindow) CountRequest(now time.Time, t RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now, t.Window)
	w.requests[0]++
}

// Take counts a repeat if the budget of this node, one of nodes, allows it.
func (w *RetryWindow) Take(now time.Time, t RetryLimits, nodes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now, t.Window)
	requests, repeats := 0, 0
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := shareUsed * (t.Ratio*float64(requests) + t.Extra/float64(max(1, nodes)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[0]++
	return true
}
