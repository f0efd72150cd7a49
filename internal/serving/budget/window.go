package budget

import (
	"sync"
	"time"
)

// windowParts is the number of parts of a sliding window; the oldest part expires as a whole.
const windowParts = 10

// usableShare is the share of the fleet's budget that the nodes use together: requests are spread unevenly over nodes,
// and the windows of different nodes end at different times.
const usableShare = 0.8

// RetryLimits is the fleet's retry budget in a window.
type RetryLimits struct {
	// Ratio is the number of retries for each request, Extra the number of further ones for all nodes together.
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// RetryWindow counts requests and retries of one service at one node in a sliding window, safe for concurrent use.
//
// It limits the amplification by clients and nodes that retry on top of each other while a service fails.
type RetryWindow struct {
	mu       sync.Mutex
	start    time.Time
	requests [windowParts]int
	retries  [windowParts]int
}

func (w *RetryWindow) advance(now time.Time, window time.Duration) {
	step := window / windowParts
	if w.start.IsZero() || now.Sub(w.start) >= 2*window {
		w.start = now
		w.requests, w.retries = [windowParts]int{}, [windowParts]int{}
		return
	}
	for now.Sub(w.start) >= step {
		copy(w.requests[1:], w.requests[:windowParts-1])
		copy(w.retries[1:], w.retries[:windowParts-1])
		w.requests[0], w.retries[0] = 0, 0
		w.start = w.start.Add(step)
	}
}

// CountRequest counts a request.
func (w *RetryWindow) CountRequest(now time.Time, limits RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limits.Window)
	w.requests[0]++
}

// Take counts a retry and returns true if this node's part of the fleet's budget allows it; nodes is the number of nodes
// that share the budget.
func (w *RetryWindow) Take(now time.Time, limits RetryLimits, nodes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limits.Window)
	requests, retries := 0, 0
	for i := range windowParts {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := usableShare * (limits.Ratio*float64(requests) + limits.Extra/float64(max(1, nodes)))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[0]++
	return true
}

// Return takes back a retry that was counted at takenAt and has not been made.
func (w *RetryWindow) Return(now, takenAt time.Time, limits RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limits.Window)
	step := limits.Window / windowParts
	part := 0
	for takenAt.Before(w.start.Add(-time.Duration(part) * step)) {
		part++
	}
	if part < windowParts && w.retries[part] > 0 {
		w.retries[part]--
	}
}
