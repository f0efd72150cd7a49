package dispatch

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/speed"
)

// basisLogInterval bounds how often a change of what calls are placed by is logged for a scheduler.
const basisLogInterval = 10 * time.Second

// placement is the state of a scheduler's placement of calls by the speed of targets.
type placement struct {
	// heldCheckAt is when pieces that wait for a faster target are looked at again, the zero time if no look is pending.
	heldCheckAt time.Time
	// loggedBasis is what calls were placed by according to the log at basisLoggedAt.
	loggedBasis   speed.Basis
	basisLoggedAt time.Time
}

// scheduleHeldCheck schedules a Refresh for pieces that wait for a faster target, in case its call takes longer than expected; the lock is
// held.
func (d *Dispatcher) scheduleHeldCheck(now time.Time, s *shardScheduler) {
	at := s.HeldUntil()
	if at.IsZero() || (!s.heldCheckAt.IsZero() && !s.heldCheckAt.After(at)) {
		return
	}
	s.heldCheckAt = at
	time.AfterFunc(at.Sub(now), func() {
		d.mu.Lock()
		if s.heldCheckAt.Equal(at) {
			s.heldCheckAt = time.Time{}
		}
		d.mu.Unlock()
		d.Refresh()
	})
}

// logBasis logs when calls begin or cease to be placed by the speeds of targets; the lock is held.
func (d *Dispatcher) logBasis(now time.Time, s *shardScheduler) {
	basis := s.SpeedBasis()
	if basis == s.loggedBasis || now.Sub(s.basisLoggedAt) < basisLogInterval {
		return
	}
	s.loggedBasis, s.basisLoggedAt = basis, now
	least, greatest := s.SpeedRange(now)
	log := d.cfg.Log.WithFields(logrus.Fields{
		"service": s.service, "shard": s.shard, "basis": string(basis), "least": hundredths(least), "greatest": hundredths(greatest),
	})
	if basis == speed.None {
		log.Info("desk: calls are placed as if targets were alike")
		return
	}
	log.Info("desk: calls are placed by the speed of targets")
}

// addSpeedFields adds what is known of the speed of a call's target, if calls are placed by it.
func addSpeedFields(fields logrus.Fields, c *batch.Call) {
	if c.Basis == speed.None {
		return
	}
	fields["usual"], fields["work_time"] = hundredths(c.Speed.Usual()), hundredths(c.Speed.Factor(c.Started))
}

// hundredths rounds a factor for the log.
func hundredths(f float64) float64 { return math.Round(100*f) / 100 }
