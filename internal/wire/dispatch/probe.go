package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// probeTargets requests the space of the targets whose space is not known; the lock is held.
func (d *Dispatcher) probeTargets(now time.Time, s *shardScheduler, profile route.BatchProfile) {
	for _, t := range s.TargetsToProbe(now) {
		go d.probe(s, profile, t)
	}
}

func (d *Dispatcher) probe(s *shardScheduler, profile route.BatchProfile, t registry.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	space, err := d.cfg.Targets.AvailableSpace(ctx, t, d.recorder(t.Run()))
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": s.service, "target": t.ID}).Warn("desk: target did not report its space; assuming that it is free")
		s.RecordProbeFailure(t)
	} else {
		s.RecordSpace(now, profile, t, space)
		d.cfg.Log.WithFields(logrus.Fields{"service": s.service, "target": t.ID, "least": space.Min, "most": space.Max, "room": profile.ResultSpace}).Info("desk: target reported its space")
	}
	d.scheduleRecheck(s)
	d.startCalls(now, s, profile)
}

// scheduleRecheck schedules a Refresh if a scheduler's targets hold untracked results; the lock is held.
func (d *Dispatcher) scheduleRecheck(s *shardScheduler) {
	if s.recheckScheduled || !s.HasUntracked(d.cfg.Now()) {
		return
	}
	s.recheckScheduled = true
	time.AfterFunc(recheckInterval, func() {
		d.mu.Lock()
		s.recheckScheduled = false
		d.mu.Unlock()
		d.Refresh()
	})
}
