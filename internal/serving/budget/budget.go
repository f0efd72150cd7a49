package budget

import (
	"sync"
	"time"
)

const (
	retryPerRequest = 0.1
	retryReserve    = 10
)

// RetryBucket allows a tenth as many retries as there are requests, with a small reserve.
type RetryBucket struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetries makes a budget with its reserve full.
func NewRetries() *RetryBucket { return &RetryBucket{tokens: retryReserve} }

// CountRequest counts a request.
func (r *RetryBucket) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(retryReserve, r.tokens+retryPerRequest)
}

// Take spends one retry; false if the budget is used up.
func (r *RetryBucket) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// RateBucket is a token bucket of one second's worth; the zero value is full.
type RateBucket struct {
	tokens float64
	last   time.Time
}

// Take spends one token of a bucket filled with perSecond; otherwise it gives the rate unchanged and the time to wait.
func (r RateBucket) Take(now time.Time, perSecond float64) (RateBucket, time.Duration) {
	full := max(1, perSecond)
	if r.last.IsZero() {
		r.tokens = full
	} else {
		r.tokens = min(full, r.tokens+perSecond*now.Sub(r.last).Seconds())
	}
	r.last = now
	if r.tokens >= 1 {
		r.tokens--
		return r, 0
	}
	return r, time.Duration((1 - r.tokens) / perSecond * float64(time.Second))
}
