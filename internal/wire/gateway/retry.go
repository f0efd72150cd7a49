package gateway

import (
	"sync"
	"time"
)

// takeRetry reports whether a request may be sent once more: with the retry that it was granted when it left its last target, or
// with another one of the budget.
func (g *Gateway) takeRetry(now time.Time, rs *requestState) bool {
	if !rs.retryTakenAt.IsZero() {
		rs.retryTakenAt = time.Time{}
		return true
	}
	return g.AllowRetry(now, rs.service.Name)
}

// returnRetry gives back a retry that a request was granted and has not made.
func (g *Gateway) returnRetry(rs *requestState) {
	if rs.retryTakenAt.IsZero() {
		return
	}
	g.retryWindow(rs.service.Name).Return(g.cfg.Now(), rs.retryTakenAt, g.retryLimits())
	rs.retryTakenAt = time.Time{}
}

// move ends a send after a time if the retry budget allows another one, safe for concurrent use. A send that nothing can follow
// goes on.
type move struct {
	timer *time.Timer

	mu sync.Mutex
	// isStopped is set once the send has a response or has ended, takenAt when a retry was granted.
	isStopped bool
	takenAt   time.Time
}

// startMove returns a move that calls end after timeout.
func (g *Gateway) startMove(timeout time.Duration, service string, end func()) *move {
	m := &move{}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(timeout, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if now := g.cfg.Now(); !m.isStopped && g.AllowRetry(now, service) {
			m.takenAt = now
			end()
		}
	})
	return m
}

// stop keeps the send at its target, and returns when a retry was granted, the zero time if none was.
func (m *move) stop() time.Time {
	m.timer.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isStopped = true
	return m.takenAt
}
