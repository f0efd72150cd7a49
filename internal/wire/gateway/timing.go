package gateway

import "time"

// lateWait is how long a request that misses its latency objective anyway may wait for a target.
const lateWait = 300 * time.Millisecond

// startBy returns until when a request may wait for a target.
func (g *Gateway) startBy(now time.Time, rs *requestState) time.Time {
	by := rs.objective
	if late := now.Add(lateWait); by.Before(late) {
		by = late
	}
	if rs.firstByteBy.Before(by) {
		by = rs.firstByteBy
	}
	return by.Add(-g.firstByteTime(rs))
}

// A retryable request without a response moves to another target after 1/moveDivisor of the time left until its deadline, or after
// the route's latency objective if that is longer.
const moveDivisor = 3

// moveTimeout returns how long to wait for a response header before the request moves to another target, or 0 if it
// does not move.
func (g *Gateway) moveTimeout(now time.Time, rs *requestState, rw *responseWriter) time.Duration {
	if !rs.route.IsRetryable() || rs.sends+1 >= rs.route.MaxAttempts {
		return 0
	}
	timeout := max(rs.route.LatencyObjective, rs.deadline.Sub(now)/moveDivisor)
	if g.isPastRetry(now.Add(timeout), rs, rw) {
		return 0
	}
	return timeout
}

// minRetryShare is the part of the average time to a first byte that another attempt needs at least: some requests are faster.
const minRetryShare = 0.5

// isPastRetry reports whether the time left is too short for another target to begin a response.
func (g *Gateway) isPastRetry(now time.Time, rs *requestState, rw *responseWriter) bool {
	by := rs.firstByteBy
	if rw.headerSent {
		by = rs.deadline
	}
	return now.Add(time.Duration(minRetryShare * float64(g.firstByteTime(rs)))).After(by)
}

// defaultFirstByteTime is the time to the first byte of a model's response that is assumed until one has arrived.
const defaultFirstByteTime = 150 * time.Millisecond

// recordFirstByte adds the time from a send to the first byte of its response to the average of the service.
func (g *Gateway) recordFirstByte(rs *requestState, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	average, ok := g.firstByteTimes[rs.service.Name]
	if !ok {
		average = took
	}
	g.firstByteTimes[rs.service.Name] = average + (took-average)/8
}

// firstByteTime returns the average time from a send to the first byte of a response.
func (g *Gateway) firstByteTime(rs *requestState) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, ok := g.firstByteTimes[rs.service.Name]; ok {
		return d
	}
	return defaultFirstByteTime
}
