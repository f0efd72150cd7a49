package batch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// avoidFirst and avoidMost bound how long a target is left alone after a failure.
	avoidFirst = 150 * time.Millisecond
	avoidMost  = 2 * time.Second
	// slowFrom is the ratio of measured to expected time from which a target counts as slow.
	slowFrom = 1.5
	// slowForget is the time in which half of a measured slowness is forgotten, so that the target is tried again.
	slowForget = 3 * time.Second
	// askEvery is how often a target that holds unknown results is asked for its space, askWithin how long a target of
	// which nothing is known waits for the first answer: a few round trips.
	askEvery  = 200 * time.Millisecond
	askWithin = 60 * time.Millisecond
	// hiddenFor is how long unknown results are taken to hold space at first: requests give theirs up in about this time.
	hiddenFor = 800 * time.Millisecond
	// sharedFor is how long after a target had a call of another desk it is expected to have one again: some calls.
	sharedFor = time.Second
	// sendMargin is the time that a call and its answer spend on the way.
	sendMargin = 5 * time.Millisecond
)

// lane is what a line knows of one target.
type lane struct {
	target registry.Target
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
	fade     time.Duration
	// since is when the line came to know the target; its space was asked for at asked, which is settled once it has
	// told it or did not answer.
	since   time.Time
	asked   time.Time
	settled bool
	// fullAt is when a call last found no space for a result.
	fullAt time.Time
	// sharedAt is when the target last had a call of another desk.
	sharedAt time.Time
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

// full notes that a call found no space for a result: others that this line does not know of hold hidden bytes.
//
// It answers a desk that took over from another node: what was made there stays until its requests have ended, or, if
// their nodes are gone too, until its time ends. Which of the two it is shows when space is tried again; it is tried
// half as often each time that there is none.
func (l *lane) full(now time.Time, terms route.BatchProfile, hidden int64) {
	if l.fade == 0 || now.Sub(l.fullAt) > 2*l.fade {
		l.fade = hiddenFor
	} else {
		l.fade = min(2*l.fade, terms.ResultTTL)
	}
	l.hidden, l.hiddenAt = max(0, hidden), now
	l.fullAt = now
}

// fits notes that all results of a call found space.
func (l *lane) fits(terms route.BatchProfile) {
	l.hidden = min(l.hidden, max(0, terms.ResultSpace-l.used))
}

// unknown is the space that unknown results are taken to hold still.
func (l *lane) unknown(now time.Time) int64 {
	left := l.fade - now.Sub(l.hiddenAt)
	if l.hidden == 0 || left <= 0 {
		return 0
	}
	return int64(float64(l.hidden) * left.Seconds() / l.fade.Seconds())
}

// ready tells whether enough is known of the target for a call.
func (l *lane) ready(now time.Time) bool { return l.settled || now.Sub(l.since) >= askWithin }

// sure tells whether a call will begin at once, without a call of another desk before it.
func (l *lane) sure(now time.Time) bool { return now.Sub(l.sharedAt) >= sharedFor }

// room is the bytes that results hold at the target.
func (l *lane) room(now time.Time) int64 {
	for h, x := range l.held {
		if now.After(x.until) {
			delete(l.held, h)
			l.used -= x.bytes
		}
	}
	return l.used + l.unknown(now)
}

// before tells whether the target takes the next call rather than b.
func (l *lane) before(b *lane, now time.Time) bool {
	if sl, sb := l.slowness(now) >= slowFrom, b.slowness(now) >= slowFrom; sl != sb {
		return !sl
	}
	if l.used != b.used {
		return l.used < b.used
	}
	return l.target.ID < b.target.ID
}
