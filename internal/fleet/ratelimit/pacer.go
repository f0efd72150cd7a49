package ratelimit

import "time"

const (
	// savedTime is the time whose grants a pacer may save up, so that gaps between claims at a high rate cost nothing.
	savedTime = 200 * time.Millisecond
	// savedPart is the part of an interval that is saved at least: claims come a little after a grant is due, and what each
	// is late by would lengthen every interval.
	savedPart = 0.75
)

// Pacer spaces the sends to one target: a token bucket in the form of the time at which the next send is due.
type Pacer struct {
	rate float64
	// last is the last grant, or the start; due is when the following one may be taken.
	last time.Time
	due  time.Time
}

// NewPacer returns a pacer of a number of sends a second, the first of which is due after a part of its interval.
func NewPacer(now time.Time, rate, part float64) Pacer {
	p := Pacer{rate: rate, last: now}
	p.due = now.Add(time.Duration(part * float64(p.interval())))
	return p
}

func (p Pacer) interval() time.Duration {
	return time.Duration(float64(time.Second) / p.rate)
}

// saved is how late a grant may be taken without delaying those after it.
func (p Pacer) saved() time.Duration {
	return max(savedTime, time.Duration(savedPart*float64(p.interval())))
}

// dueAt returns when the next grant is due or was, if it is claimed at now.
func (p Pacer) dueAt(now time.Time) time.Time {
	if oldest := now.Add(-p.saved()); p.due.Before(oldest) {
		return oldest
	}
	return p.due
}

// WithRate returns the pacer at another rate: the part of an interval that is left until the next grant stays. What was saved at
// a higher rate is lost, but for the part of one interval.
func (p Pacer) WithRate(rate float64) Pacer {
	if rate == p.rate {
		return p
	}
	taken := min(1, p.due.Sub(p.last).Seconds()*p.rate)
	if rate < p.rate {
		taken = max(taken, 1-savedPart)
	}
	p.rate = rate
	p.due = p.last.Add(time.Duration(taken * float64(p.interval())))
	return p
}

// Next returns when the next send is allowed, now at the earliest.
func (p Pacer) Next(now time.Time) time.Time { return p.slot(now, 0) }

// slot returns when the grant after k others may be taken, now at the earliest.
func (p Pacer) slot(now time.Time, k int) time.Time {
	if at := p.dueAt(now).Add(time.Duration(k) * p.interval()); at.After(now) {
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
	p.due = p.dueAt(now).Add(p.interval())
	p.last = now
	return p
}
