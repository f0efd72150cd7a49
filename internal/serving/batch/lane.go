package batch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
)

const (
	// avoidMin and avoidMax bound how long a target is left alone after a failure.
	avoidMin = 150 * time.Millisecond
	avoidMax = 2 * time.Second
	// slowFrom is the ratio of measured to expected time from which a target counts as slow.
	slowFrom = 1.5
	// slowForget is the time in which half of a measured slowness is forgotten, so that the target is tried again.
	slowForget = 3 * time.Second
	// sendMargin is the time that a call and its answer spend on the way.
	sendMargin = 5 * time.Millisecond
)

// lane is what a line knows of one target.
type lane struct {
	target roster.Target
	busy   bool
	freeAt time.Time
	avoid  time.Time
	fails  int
	// slow is the measured over the expected time of calls, at the time measured.
	slow     float64
	measured time.Time
	held     map[string]holding
	used     int64
	// hidden is space that results of which this line knows nothing held at a time; they end by their own time.
	hidden   int64
	hiddenAt time.Time
}

// holding is the space of one result.
type holding struct {
	bytes int64
	until time.Time
}

// slowness is the ratio by which calls take longer than expected, fading to 1.
func (l *lane) slowness(now time.Time) float64 {
	if l.slow <= 1 {
		return 1
	}
	faded := l.slow - 1
	for t := now.Sub(l.measured); t > slowForget; t -= slowForget {
		faded /= 2
	}
	return 1 + faded
}

// begins is when the target can begin a call.
func (l *lane) begins(now time.Time) time.Time {
	at := now
	if l.busy {
		at = l.freeAt
	}
	if l.avoid.After(at) {
		at = l.avoid
	}
	return at
}

// full notes that the target lacked so many bytes for results: results that this line does not know of hold them.
//
// It answers a desk that took over from a node that is gone, whose results stay at the targets until their time ends.
func (l *lane) full(now time.Time, terms route.Batch, lacked int64) {
	l.hidden = l.unknown(now, terms) + lacked
	l.hiddenAt = now
}

// unknown is the space that unknown results still hold.
func (l *lane) unknown(now time.Time, terms route.Batch) int64 {
	left := terms.Keep - now.Sub(l.hiddenAt)
	if l.hidden == 0 || left <= 0 {
		return 0
	}
	return int64(float64(l.hidden) * left.Seconds() / terms.Keep.Seconds())
}

// room is the bytes that results hold at the target.
func (l *lane) room(now time.Time, terms route.Batch) int64 {
	for h, x := range l.held {
		if now.After(x.until) {
			delete(l.held, h)
			l.used -= x.bytes
		}
	}
	return l.used + l.unknown(now, terms)
}

// before tells whether a takes the next call rather than b.
func (a *lane) before(b *lane, now time.Time) bool {
	if sa, sb := a.slowness(now) >= slowFrom, b.slowness(now) >= slowFrom; sa != sb {
		return !sa
	}
	if a.used != b.used {
		return a.used < b.used
	}
	return a.target.ID < b.target.ID
}
