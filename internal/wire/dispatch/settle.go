package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// run makes one call and settles its pieces.
func (d *Dispatcher) run(l *line, c *batch.Call, terms route.BatchProfile) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonFactor*c.Expected+overdueExtra)
	defer cancel()
	overdue := time.AfterFunc(time.Duration(overdueFactor*float64(c.Expected))+overdueExtra, func() { d.overdue(l, c, terms) })
	reply, err := d.cfg.Targets.RunBatch(ctx, c.Started, c.Target, terms, c.Pieces)
	overdue.Stop()
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range c.Pieces {
		if g := d.groups[p.GroupID]; g != nil {
			g.pieces[p.Segment].flying--
		}
	}
	if err != nil {
		d.failed(now, l, c, err)
	} else {
		full := c.Complete(now, terms, reply)
		d.ended(now, l, c, terms, reply)
		for i, p := range c.Pieces {
			d.settle(now, l, c, p, reply.Results[i])
		}
		if full {
			d.ask(now, l, terms)
			d.look(l)
		}
	}
	d.dispatch(now, l, terms)
}

// ended logs and counts a call that brought results.
func (d *Dispatcher) ended(now time.Time, l *line, c *batch.Call, terms route.BatchProfile, r batch.Reply) {
	counts := map[batch.Reason]int{}
	for _, x := range r.Results {
		counts[x.Reason]++
	}
	took := now.Sub(c.Started)
	d.cfg.Meter.RecordStageCall(l.service, "made", len(c.Pieces), terms.MaxSize, took)
	d.cfg.Log.WithFields(logrus.Fields{
		"service": l.service, "target": c.Target.ID, "pieces": len(c.Pieces), "made": counts[batch.Completed], "late": counts[batch.Late],
		"gone": counts[batch.InputLost], "full": counts[batch.NoSpace], "failed": counts[batch.Failed], "ms": took.Milliseconds(),
		"expected_ms": c.Expected.Milliseconds(), "running": r.Running, "at_target": r.Waiting, "requests": c.Requests(),
	}).Info("desk: stage call ended")
}

// settle takes the result of one piece; the lock is held.
func (d *Dispatcher) settle(now time.Time, l *line, c *batch.Call, p batch.Piece, r batch.Result) {
	g := d.groups[p.GroupID]
	if g == nil || g.pieces[p.Segment].done {
		if r.Reason == batch.Completed {
			d.free(c.Target.Address, r.Handle)
		}
		return
	}
	if r.Reason == batch.Completed {
		d.fetched(g, p.Segment)
	}
	if r.Reason != batch.Completed && d.elsewhere(p) {
		return
	}
	if r.Reason == batch.NoSpace && !now.After(p.StartByDeadline) {
		l.Add(p)
		return
	}
	if r.Reason == batch.Failed && d.again(now, l, p) {
		return
	}
	d.finish(g, p.Segment, r)
}

// again queues a piece once more if tries and budget allow it.
func (d *Dispatcher) again(now time.Time, l *line, p batch.Piece) bool {
	if p.Attempts+1 >= maxTries || now.After(p.StartByDeadline) || !d.cfg.AllowRetry(now, l.service) {
		return false
	}
	p.Attempts++
	l.Add(p)
	return true
}

func (d *Dispatcher) finish(g *group, segment int, r batch.Result) {
	g.pieces[segment].done = true
	g.results[segment] = r
	g.left--
	if g.left == 0 {
		delete(d.groups, g.id)
		close(g.ready)
	}
}

// failed leaves the target alone for a while and sends its pieces elsewhere; the lock is held.
func (d *Dispatcher) failed(now time.Time, l *line, c *batch.Call, err error) {
	avoid, fails := c.Fail(now)
	d.cfg.Meter.RecordStageCall(l.service, "failed", len(c.Pieces), len(c.Pieces), now.Sub(c.Started))
	time.AfterFunc(avoid, d.Refresh)
	d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"service": l.service, "target": c.Target.ID, "pieces": len(c.Pieces), "fails": fails, "avoid_ms": avoid.Milliseconds(),
		"requests": c.Requests(),
	}).Warn("desk: stage call failed")
	for _, p := range c.Pieces {
		g := d.groups[p.GroupID]
		if g == nil || g.pieces[p.Segment].done || d.elsewhere(p) {
			continue
		}
		if !d.again(now, l, p) {
			d.finish(g, p.Segment, batch.Result{Reason: batch.Failed})
		}
	}
}

// elsewhere tells whether a piece is in another call still, which may bring its result; the lock is held.
func (d *Dispatcher) elsewhere(p batch.Piece) bool {
	g := d.groups[p.GroupID]
	return g != nil && g.pieces[p.Segment].flying > 0
}

// overdue sends the pieces of a call that seems stuck elsewhere; whichever result comes first counts. Pieces with
// inputs are left where they are: once a target has fetched those they are freed.
func (d *Dispatcher) overdue(l *line, c *batch.Call, terms route.BatchProfile) {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := 0
	for _, p := range c.Pieces {
		if g := d.groups[p.GroupID]; g != nil && !g.pieces[p.Segment].done && len(p.Inputs) == 0 && d.again(now, l, p) {
			sent++
		}
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": l.service, "target": c.Target.ID, "pieces": len(c.Pieces), "again": sent, "requests": c.Requests(),
	}).Warn("desk: stage call is overdue")
	d.dispatch(now, l, terms)
}

// late ends the groups of which a piece cannot begin in time any more; the lock is held.
func (d *Dispatcher) late(now time.Time, l *line, terms route.BatchProfile) {
	for _, p := range l.Expire(now, terms) {
		if g := d.groups[p.GroupID]; g != nil {
			d.turned(now, g.Group, "late", nil)
		}
		d.giveUp(l, p.GroupID)
	}
}

// giveUp ends a group at once, of which one piece cannot be made in time: the others alone are of no use.
func (d *Dispatcher) giveUp(l *line, id uint64) {
	g := d.groups[id]
	if g == nil {
		return
	}
	l.RemoveGroup(id)
	for i := range g.pieces {
		if !g.pieces[i].done {
			d.finish(g, i, batch.Result{Reason: batch.Late})
		}
	}
}

// forget drops a group that nobody waits for, and its results.
func (d *Dispatcher) forget(g *group, l *line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.RemoveGroup(g.id)
	delete(d.groups, g.id)
	for _, r := range g.results {
		if r.Handle != "" {
			d.free(batch.HandleAddress(r.Handle), r.Handle)
		}
	}
}
