package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
)

// runCall makes one call and settles its pieces.
func (d *Dispatcher) runCall(s *shardScheduler, c *batch.Call, profile route.BatchProfile) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonFactor*c.Expected+overdueExtra)
	defer cancel()
	overdue := time.AfterFunc(time.Duration(overdueFactor*float64(c.Expected))+overdueExtra, func() { d.retryOverdue(s, c, profile) })
	reply, err := d.cfg.Targets.RunBatch(ctx, c.Started, c.Target, c.Pieces, d.recorder(c.Target.Run()))
	overdue.Stop()
	d.cfg.Rollouts.End(d.cfg.Now(), c.Rollout, rolloutResult(reply, err))
	if err != nil && !errors.Is(err, connection.ErrUnsent) {
		d.recordCrash(c)
	}
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range c.Pieces {
		if g := d.groups[p.GroupID]; g != nil {
			g.pieces[p.Index].inFlight--
		}
	}
	d.updateTargets(now, s)
	if err != nil {
		d.settleFailed(now, s, c, err)
	} else {
		full := c.Complete(now, profile, reply)
		d.logUnknownFigures(s.service, reply)
		d.recordMade(now, c, reply)
		d.recordEnded(now, s, c, profile, reply)
		for i, p := range c.Pieces {
			d.settle(now, s, c, p, reply.Results[i])
		}
		if full {
			d.probeTargets(now, s, profile)
			d.scheduleRecheck(s)
		}
	}
	d.startCalls(now, s, profile)
}

// recordEnded logs and counts a call that returned results.
func (d *Dispatcher) recordEnded(now time.Time, s *shardScheduler, c *batch.Call, profile route.BatchProfile, r batch.Reply) {
	counts := map[batch.Reason]int{}
	for _, x := range r.Results {
		counts[x.Reason]++
	}
	took := now.Sub(c.Started)
	d.cfg.Meter.RecordStageCall(s.service, "made", len(c.Pieces), profile.MaxSize, took)
	least, greatest := s.SpeedRange(now)
	d.cfg.Meter.SetWorkTimes(s.service, least, greatest)
	fields := logrus.Fields{
		"service": s.service, "target": c.Target.ID, "pieces": len(c.Pieces), "made": counts[batch.Completed], "late": counts[batch.Late],
		"gone": counts[batch.InputLost], "full": counts[batch.NoSpace], "failed": counts[batch.Failed], "ms": took.Milliseconds(),
		"expected_ms": c.Expected.Milliseconds(), "running": r.Running, "at_target": r.Waiting, "requests": c.Requests(),
	}
	addSpeedFields(fields, c)
	if r.WorkTime > 0 {
		fields["reported"] = r.WorkTime
	}
	d.cfg.Log.WithFields(fields).Info("desk: stage call ended")
	d.logBasis(now, s)
}

// settle processes the result of one piece; the lock is held.
func (d *Dispatcher) settle(now time.Time, s *shardScheduler, c *batch.Call, p batch.Piece, r batch.Result) {
	g := d.groups[p.GroupID]
	if g == nil || g.pieces[p.Index].done {
		if r.Reason == batch.Completed {
			d.queueFree(c.Target.Address, r.Handle)
		}
		return
	}
	if r.Reason == batch.Completed {
		d.markFetched(g, p.Index)
	}
	if r.Reason != batch.Completed && d.isInFlight(p) {
		return
	}
	if r.Reason == batch.NoSpace && !now.After(p.StartByDeadline) {
		s.Add(p)
		return
	}
	if r.Reason == batch.Failed && d.retry(now, s, p) {
		return
	}
	d.finish(g, p.Index, r)
}

// retry queues a piece again if its attempts, its start by deadline and the retry budget allow it.
func (d *Dispatcher) retry(now time.Time, s *shardScheduler, p batch.Piece) bool {
	if p.Attempts+1 >= maxAttempts || now.After(p.StartByDeadline) || d.isKept(now, &p) || !d.cfg.AllowRetry(now, s.service) {
		return false
	}
	p.Attempts++
	s.Add(p)
	return true
}

func (d *Dispatcher) finish(g *group, index int, r batch.Result) {
	g.pieces[index].done = true
	g.results[index] = r
	g.unfinished--
	if g.unfinished == 0 {
		delete(d.groups, g.id)
		close(g.finished)
	}
}

// settleFailed puts the target of a failed call in back-off and retries its pieces; the lock is held.
func (d *Dispatcher) settleFailed(now time.Time, s *shardScheduler, c *batch.Call, err error) {
	backoff, failures := c.Fail(now)
	d.recordUnanswered(now, s, c, err)
	d.cfg.Meter.RecordStageCall(s.service, "failed", len(c.Pieces), len(c.Pieces), now.Sub(c.Started))
	time.AfterFunc(backoff, d.Refresh)
	d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"service": s.service, "target": c.Target.ID, "pieces": len(c.Pieces), "fails": failures, "avoid_ms": backoff.Milliseconds(),
		"requests": c.Requests(),
	}).Warn("desk: stage call failed")
	for _, p := range c.Pieces {
		g := d.groups[p.GroupID]
		if g == nil || g.pieces[p.Index].done || d.isInFlight(p) {
			continue
		}
		if !d.retry(now, s, p) {
			d.finish(g, p.Index, batch.Result{Reason: batch.Failed})
		}
	}
}

// isInFlight reports whether another call that may still return its result has the piece; the lock is held.
func (d *Dispatcher) isInFlight(p batch.Piece) bool {
	g := d.groups[p.GroupID]
	return g != nil && g.pieces[p.Index].inFlight > 0
}

// retryOverdue queues the pieces of an overdue call again; the first result counts. Pieces with inputs are not queued
// again: their inputs are freed once a target has fetched them.
func (d *Dispatcher) retryOverdue(s *shardScheduler, c *batch.Call, profile route.BatchProfile) {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	requeued := 0
	for _, p := range c.Pieces {
		if g := d.groups[p.GroupID]; g != nil && !g.pieces[p.Index].done && len(p.Inputs) == 0 && d.retry(now, s, p) {
			requeued++
		}
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": s.service, "target": c.Target.ID, "pieces": len(c.Pieces), "again": requeued, "requests": c.Requests(),
	}).Warn("desk: stage call is overdue")
	d.startCalls(now, s, profile)
}

// expireLate ends the groups that have a piece which can no longer start in time; the lock is held.
func (d *Dispatcher) expireLate(now time.Time, s *shardScheduler, profile route.BatchProfile) {
	for _, p := range s.Expire(now, profile) {
		if g := d.groups[p.GroupID]; g != nil {
			d.recordRejected(now, g.Group, expiryReason(p), nil)
		}
		d.endGroup(s, p.GroupID, batch.Late)
	}
}

// endGroup ends a group at once if one of its pieces cannot run: the others alone are of no use.
func (d *Dispatcher) endGroup(s *shardScheduler, id uint64, reason batch.Reason) {
	g := d.groups[id]
	if g == nil {
		return
	}
	s.RemoveGroup(id)
	for i := range g.pieces {
		if !g.pieces[i].done {
			d.finish(g, i, batch.Result{Reason: reason})
		}
	}
}

// dropGroup removes a group that has no caller left, and frees its results.
func (d *Dispatcher) dropGroup(g *group, s *shardScheduler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.RemoveGroup(g.id)
	delete(d.groups, g.id)
	for _, r := range g.results {
		if r.Handle != "" {
			d.queueFree(batch.HandleAddress(r.Handle), r.Handle)
		}
	}
}
