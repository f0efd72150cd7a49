package ratelimit

import (
	"math"
	"time"
)

// savedTime is the time whose grants a pacer may save up, so that short gaps between claims at a high rate cost nothing.
const savedTime = 100 * time.Millisecond

// Pacer spaces the sends to one target: a token bucket in the form of the theoretical arrival time of the next send, which
// saves at least one.
type Pacer struct {
	rate float64
	// last is the last grant, or the start; next is when the following one is due at the rate.
	last time.Time
	next time.Time
}

// NewPacer returns a pacer of a number of sends a second, the first of which is due after a part of its interval.
func NewPacer(now time.Time, rate, part float64) Pacer {
	p := Pacer{rate: rate, last: now}
	p.next = now.Add(time.Duration(part * float64(p.interval()))).Add(p.saved())
	return p
}

func (p Pacer) interval() time.Duration {
	return time.Duration(float64(time.Second) / p.rate)
}

// saved is how long before it is due a grant may be taken.
func (p Pacer) saved() time.Duration {
	return p.interval() * time.Duration(max(0, math.Floor(p.rate*savedTime.Seconds())-1))
}

// WithRate returns the pacer at another rate. Sends that were taken early still count, but at a lower rate only the last one:
// the others were due at the rate before.
func (p Pacer) WithRate(rate float64) Pacer {
	if rate == p.rate {
		return p
	}
	taken := p.next.Sub(p.last).Seconds() * p.rate
	if rate < p.rate {
		taken = min(taken, 1)
	}
	p.rate = rate
	p.next = p.last.Add(time.Duration(taken * float64(p.interval())))
	return p
}

// Next returns when the next send is allowed, now at the earliest.
func (p Pacer) Next(now time.Time) time.Time { return p.slot(now, 0) }

// slot returns when the grant after k others may be taken, now at the earliest.
func (p Pacer) slot(now time.Time, k int) time.Time {
	next := p.next
	if next.Before(now) {
		next = now
	}
	if at := next.Add(time.Duration(k)*p.interval() - p.saved()); at.After(now) {
		return at
	}
	return now
}

// lastSlot returns the greatest k whose grant may be taken at a time, 0 if there is none.
func (p Pacer) lastSlot(now, at time.Time) int {
	wait := at.Sub(p.slot(now, 0))
	if wait <= 0 {
		return 0
	}
	return int(wait / p.interval())
}

// WithSend returns the pacer after a send at now.
func (p Pacer) WithSend(now time.Time) Pacer {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.interval())
	p.last = now
	return p
}
