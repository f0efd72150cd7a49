package desk

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// queue is the waiting pieces of one shard of a service, and its targets.
type queue struct {
	service string
	shard   string
	waiting batch.Queue
	lanes   map[string]*lane
	// passed are the targets for which nothing waits in this round.
	passed map[string]bool
}

// homes gives for each data centre when its next target is free.
func (q *queue) homes(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for _, l := range q.lanes {
		if l.slowness(now) >= slowFrom {
			continue
		}
		at := now
		if l.busy {
			at = l.freeAt
		}
		if l.avoid.After(at) {
			at = l.avoid
		}
		if before, ok := list[l.target.Datacentre]; !ok || at.Before(before) {
			list[l.target.Datacentre] = at
		}
	}
	return list
}

// lane is what the desk knows of one target.
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
	// hidden is space that results of which this desk knows nothing held at a time; they end by their own time.
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

// free gives for each target when it can begin a call.
func (q *queue) free(now time.Time) []time.Time {
	var list []time.Time
	for _, l := range q.lanes {
		at := now
		if l.busy {
			at = l.freeAt
		}
		if l.avoid.After(at) {
			at = l.avoid
		}
		list = append(list, at)
	}
	return list
}

// full notes that the target lacked so many bytes for results: results that this desk does not know of hold them.
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

// next chooses the target of the next call, nil if none should begin one.
//
// It answers targets that turn slow: one of those gets a call only where more waits than the sound ones take in
// the time that it loses.
func (q *queue) next(now time.Time, terms route.Batch) *lane {
	var best *lane
	sound := 0
	for _, l := range q.lanes {
		if l.slowness(now) < slowFrom && !now.Before(l.avoid) {
			sound++
		}
	}
	for _, l := range q.lanes {
		if l.busy || q.passed[l.target.ID] || now.Before(l.avoid) || terms.Room-l.room(now, terms) <= 0 {
			continue
		}
		s := l.slowness(now)
		if s >= slowFrom && float64(q.waiting.Len()) < (s-1)*float64(sound*terms.Size) {
			continue
		}
		if best == nil || better(l, best, now) {
			best = l
		}
	}
	return best
}

func better(a, b *lane, now time.Time) bool {
	if sa, sb := a.slowness(now) >= slowFrom, b.slowness(now) >= slowFrom; sa != sb {
		return !sa
	}
	if a.used != b.used {
		return a.used < b.used
	}
	return a.target.ID < b.target.ID
}
