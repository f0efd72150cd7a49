package desk

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// run makes one call and settles its pieces.
func (d *Desk) run(q *queue, l *lane, t roster.Target, terms route.Batch, pieces []batch.Piece, started time.Time, expected time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonFactor*expected+overdueExtra)
	defer cancel()
	overdue := time.AfterFunc(time.Duration(overdueFactor*float64(expected))+overdueExtra, func() { d.overdue(q, l, terms, pieces) })
	results, err := d.cfg.Caller.Run(ctx, started, t, terms, pieces)
	overdue.Stop()
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l.busy = false
	for _, p := range pieces {
		l.used -= p.Bytes
		if g := d.groups[p.Group]; g != nil {
			g.flying[p.Segment]--
		}
	}
	if err != nil {
		d.failed(now, q, l, pieces, err)
	} else {
		l.fails = 0
		l.slow = float64(now.Sub(started)-sendMargin) / float64(terms.Took(len(pieces)))
		l.measured = now
		var lacked int64
		for i, p := range pieces {
			d.settle(now, q, l, terms, p, results[i])
			if results[i].Reason == Full {
				lacked += p.Bytes
			}
		}
		if lacked > 0 {
			l.full(now, terms, lacked)
			d.look(l, terms)
		}
	}
	d.dispatch(now, q, terms)
}

// look looks at the queues again and again while unknown results fade at a target.
func (d *Desk) look(l *lane, terms route.Batch) {
	time.AfterFunc(terms.Keep/fullSteps, func() {
		d.Changed()
		d.mu.Lock()
		defer d.mu.Unlock()
		if l.unknown(d.cfg.Now(), terms) > 0 {
			d.look(l, terms)
		}
	})
}

// settle takes the result of one piece; the lock is held.
func (d *Desk) settle(now time.Time, q *queue, l *lane, terms route.Batch, p batch.Piece, r Result) {
	g := d.groups[p.Group]
	if r.Reason == Made {
		l.held[r.Handle] = holding{bytes: p.Bytes, until: now.Add(terms.Keep)}
		l.used += p.Bytes
		if g == nil || g.done[p.Segment] {
			d.free(l.target.Address, r.Handle)
			return
		}
	}
	if g == nil || g.done[p.Segment] {
		return
	}
	if r.Reason != Made && d.elsewhere(p) {
		return
	}
	if r.Reason == Full && !now.After(p.Last) {
		q.waiting.Add(p)
		return
	}
	if r.Reason == Failed && d.again(now, q, p) {
		return
	}
	d.finish(g, p.Segment, r)
}

// again queues a piece once more if tries and budget allow it.
func (d *Desk) again(now time.Time, q *queue, p batch.Piece) bool {
	if p.Tries+1 >= maxTries || now.After(p.Last) || !d.cfg.Repeat(now, q.service) {
		return false
	}
	p.Tries++
	q.waiting.Add(p)
	return true
}

func (d *Desk) finish(g *group, segment int, r Result) {
	g.done[segment] = true
	g.results[segment] = r
	g.left--
	if g.left == 0 {
		delete(d.groups, g.id)
		close(g.ready)
	}
}

// failed leaves the target alone for a while and sends its pieces elsewhere; the lock is held.
func (d *Desk) failed(now time.Time, q *queue, l *lane, pieces []batch.Piece, err error) {
	l.fails++
	wait := min(avoidMax, avoidMin<<min(l.fails-1, 8))
	l.avoid = now.Add(wait)
	time.AfterFunc(wait, d.Changed)
	d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"service": q.service, "target": l.target.ID, "pieces": len(pieces), "fails": l.fails, "avoid_ms": wait.Milliseconds(),
	}).Warn("desk: stage call failed")
	for _, p := range pieces {
		g := d.groups[p.Group]
		if g == nil || g.done[p.Segment] || d.elsewhere(p) {
			continue
		}
		if !d.again(now, q, p) {
			d.finish(g, p.Segment, Result{Reason: Failed})
		}
	}
}

// elsewhere tells whether a piece is in another call still, which may bring its result; the lock is held.
func (d *Desk) elsewhere(p batch.Piece) bool {
	g := d.groups[p.Group]
	return g != nil && g.flying[p.Segment] > 0
}

// overdue sends the pieces of a call that seems stuck elsewhere; whichever result comes first counts. Pieces with
// inputs are left where they are: once a target has fetched those they are freed.
func (d *Desk) overdue(q *queue, l *lane, terms route.Batch, pieces []batch.Piece) {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := 0
	for _, p := range pieces {
		if g := d.groups[p.Group]; g != nil && !g.done[p.Segment] && len(p.Inputs) == 0 && d.again(now, q, p) {
			sent++
		}
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": q.service, "target": l.target.ID, "pieces": len(pieces), "again": sent,
	}).Warn("desk: stage call is overdue")
	d.dispatch(now, q, terms)
}

// expire ends the pieces that wait for nothing; the lock is held.
func (d *Desk) expire(now time.Time, q *queue) {
	for _, p := range q.waiting.Expire(now) {
		d.giveUp(q, p.Group)
	}
}

// giveUp ends a group at once, of which one piece cannot be made in time: the others alone are of no use.
func (d *Desk) giveUp(q *queue, id uint64) {
	g := d.groups[id]
	if g == nil {
		return
	}
	q.waiting.Drop(id)
	for i := range g.done {
		if !g.done[i] {
			d.finish(g, i, Result{Reason: Late})
		}
	}
}

// forget drops a group that nobody waits for, and its results.
func (d *Desk) forget(g *group, q *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.waiting.Drop(g.id)
	delete(d.groups, g.id)
	for _, r := range g.results {
		if r.Handle != "" {
			d.free(address(r.Handle), r.Handle)
		}
	}
}
