package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// loneCrashes is the number of crashes under a group from which its pieces share no call with others. After the first one the
	// pieces of a whole call are suspects, and a call for each of their groups would take longer than the crash.
	loneCrashes = 2
	// crashProbeTimeout bounds the check of whether the target of a failed call has crashed.
	crashProbeTimeout = 200 * time.Millisecond
)

// crashProgress is how far a batch call had come when its target crashed, for the metric.
const crashProgress = "stage"

// suspectOf returns the pieces of a group as far as they may crash targets.
func suspectOf(g *batch.Group) quarantine.Request {
	return quarantine.Pieces(g.Service, g.Stage, g.Identity)
}

// groupClearance is how the pieces of a group are sent.
type groupClearance struct {
	isTrial, isAlone bool
}

// clear returns how the pieces of a group are sent, or a *batch.RejectedError if targets crash under them.
func (d *Dispatcher) clear(ctx context.Context, g batch.Group) (groupClearance, error) {
	if len(g.Identity) == 0 {
		return groupClearance{}, nil
	}
	switch x := d.cfg.Quarantine.Decide(d.cfg.Now(), suspectOf(&g)).(type) {
	case quarantine.Reject:
		if !x.MayTry || !d.cfg.TakeTrial(ctx, x.Trait) {
			return groupClearance{}, &batch.RejectedError{Reason: "targets crash under the pieces of this request: " + strings.Join(x.Verdict.IDs(), ", "), Quarantined: true}
		}
		return groupClearance{isTrial: true, isAlone: true}, nil
	case quarantine.SendAlone:
		return groupClearance{isAlone: x.Crashes >= loneCrashes}, nil
	default:
		return groupClearance{}, nil
	}
}

// dropQuarantined ends the waiting groups under whose pieces targets have crashed meanwhile; the lock is held.
func (d *Dispatcher) dropQuarantined(now time.Time, s *shardScheduler) {
	if len(d.cfg.Quarantine.Verdicts(now)) == 0 {
		return
	}
	for id, g := range d.groups {
		if g.Service != s.service || g.isTrial || len(g.Identity) == 0 {
			continue
		}
		if _, ok := d.cfg.Quarantine.Decide(now, suspectOf(&g.Group)).(quarantine.Reject); ok {
			d.recordRejected(now, g.Group, "quarantined", nil)
			d.endGroup(s, id, batch.Failed)
		}
	}
}

// isKept reports whether a piece is kept from targets, and lets it share no call with others if it is a suspect; the lock is held.
func (d *Dispatcher) isKept(now time.Time, p *batch.Piece) bool {
	if len(p.Identity) == 0 {
		return false
	}
	switch x := d.cfg.Quarantine.Decide(now, suspectOf(p.Group)).(type) {
	case quarantine.Reject:
		return true
	case quarantine.SendAlone:
		p.Alone = p.Alone || x.Crashes >= loneCrashes
	}
	g := d.groups[p.GroupID]
	return g != nil && g.isTrial
}

// recordCrash records that the target of a failed call crashed under the groups in it, if it did.
func (d *Dispatcher) recordCrash(c *batch.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	run, ok := d.cfg.CrashedRun(ctx, c.Target)
	if !ok {
		return
	}
	now := d.cfg.Now()
	var suspects []quarantine.Request
	var names []string
	for _, g := range groupsOf(c) {
		r := suspectOf(g)
		suspects = append(suspects, r)
		names = append(names, d.cfg.Quarantine.Name(r))
	}
	d.cfg.Quarantine.RecordCrashes(now, run, suspects, true)
	d.cfg.Meter.CountCrash(c.Target.Service, crashProgress)
	d.cfg.Log.WithFields(logrus.Fields{"service": c.Target.Service, "target": c.Target.ID, "started": run.StartedAt, "requests": c.Requests(), "fingerprints": names}).
		Warn("desk: target crashed under a stage call")
}

// recordMade records the groups whose pieces a call has made; the lock is held.
func (d *Dispatcher) recordMade(now time.Time, c *batch.Call, reply batch.Reply) {
	made := map[*batch.Group]bool{}
	for i, p := range c.Pieces {
		if reply.Results[i].Reason == batch.Completed && len(p.Identity) > 0 && !made[p.Group] {
			made[p.Group] = true
			r := suspectOf(p.Group)
			d.cfg.Quarantine.RecordComplete(now, c.Started, r)
			if g := d.groups[p.GroupID]; g != nil && g.isTrial {
				go d.cfg.PassTrial(d.cfg.Quarantine.Trait(r))
			}
		}
	}
}

// groupsOf returns the groups with pieces in a call whose requests can be identified.
func groupsOf(c *batch.Call) []*batch.Group {
	var list []*batch.Group
	seen := make(map[*batch.Group]bool, len(c.Pieces))
	for _, p := range c.Pieces {
		if !seen[p.Group] && len(p.Identity) > 0 {
			seen[p.Group] = true
			list = append(list, p.Group)
		}
	}
	return list
}
