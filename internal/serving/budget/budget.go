package budget

import (
	"sync"
	"time"
)

const (
	retriesPerRequest = 0.1
	retryReserve      = 10
)

// RetryBucket is a token bucket that allows one retry for ten requests, with a small reserve.
type RetryBucket struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBucket returns a bucket with a full reserve.
func NewRetryBucket() *RetryBucket { return &RetryBucket{tokens: retryReserve} }

// CountRequest adds the tokens that one request earns.
func (r *RetryBucket) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(retryReserve, r.tokens+retriesPerRequest)
}

// Take spends one retry; false if the budget is exhausted.
func (r *RetryBucket) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// RateBucket is a token bucket that holds one second's worth of tokens; the zero value is full.
type RateBucket struct {
	tokens float64
	last   time.Time
}

// Take refills the bucket at perSecond and spends one token; it returns the new bucket, and the time to wait for a token
// if there was none.
func (r RateBucket) Take(now time.Time, perSecond float64) (RateBucket, time.Duration) {
	capacity := max(1, perSecond)
	if r.last.IsZero() {
		r.tokens = capacity
	} else {
		r.tokens = min(capacity, r.tokens+perSecond*now.Sub(r.last).Seconds())
	}
	r.last = now
	if r.tokens >= 1 {
		r.tokens--
		return r, 0
	}
	return r, time.Duration((1 - r.tokens) / perSecond * float64(time.Second))
}
