package shutdown

import (
	"slices"
	"time"
)

const (
	// historySize is the number of requests of a route that are remembered: some seconds to a minute of its load.
	historySize = 64
	// historyQuantile is the part of them that took no longer than what is expected.
	historyQuantile = 0.97
)

// recent holds the newest of some lengths of time; the zero value is empty.
type recent struct {
	values [historySize]time.Duration
	count  int
	// known is the last result of high, 0 once a time has been added since.
	known time.Duration
}

func (r *recent) add(d time.Duration) {
	r.values[r.count%historySize] = d
	r.count++
	r.known = 0
}

// high returns the quantile of the times, and false if there are none. The fewer there are, the further it lies above them.
func (r *recent) high() (time.Duration, bool) {
	n := min(r.count, historySize)
	if n == 0 {
		return 0, false
	}
	if r.known > 0 {
		return r.known, true
	}
	sorted := slices.Sorted(slices.Values(r.values[:n]))
	d := sorted[min(n-1, int(historyQuantile*float64(n)))]
	r.known = d + d/time.Duration(n)
	return r.known, true
}

// History is how long the requests of one route took; the zero value is empty. It is not safe for concurrent use.
type History struct {
	total, first, perToken, afterStages recent
}

// Sample is how long one request took.
type Sample struct {
	// Total is the time to the end of the response, First that to the first byte that was passed on, 0 if it was passed on as a whole.
	Total, First time.Duration
	// OutputTokens is the number of tokens that the caller asked for, 0 if it does not tell.
	OutputTokens int
	// AfterStages is the time from the end of its stages to the end of a response that was passed on as a whole, 0 if it has none.
	AfterStages time.Duration
}

// Add records a request.
func (h *History) Add(s Sample) {
	h.total.add(s.Total)
	if s.First > 0 {
		h.first.add(s.First)
	}
	if s.OutputTokens > 0 {
		h.perToken.add((s.Total - s.First) / time.Duration(s.OutputTokens))
	}
	if s.AfterStages > 0 {
		h.afterStages.add(s.AfterStages)
	}
}

// Expected returns how long a request with a number of output tokens is expected to take in all, and to its first byte; false if
// nothing is known.
func (h *History) Expected(outputTokens int) (total, first time.Duration, ok bool) {
	total, ok = h.total.high()
	first, _ = h.first.high()
	if perToken, hasTokens := h.perToken.high(); hasTokens && outputTokens > 0 {
		total = first + perToken*time.Duration(outputTokens)
	}
	return total, min(first, total), ok
}

// ExpectedAfterStages returns how long a request whose response is passed on as a whole is expected to take once its stages have
// ended; false if nothing is known.
func (h *History) ExpectedAfterStages() (time.Duration, bool) { return h.afterStages.high() }
