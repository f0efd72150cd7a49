package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// maxGrantWait bounds how long one claim for a call waits: pieces come and go meanwhile.
	maxGrantWait = time.Second
	// idlePriority is the priority of claims for calls while no piece waits.
	idlePriority = 8
	// freeSpacing is the number of calls at a target's limit for whose time results are collected that are freed by one call.
	freeSpacing = 4
	// freePriority is the priority of claims for freeing results, which go after all calls.
	freePriority = 9
)

// Permits grants sends to limited targets.
type Permits interface {
	// Grant asks for a send to a target; it returns when to ask again if there is none.
	Grant(ctx context.Context, t registry.Target, c ratelimit.Claim) (granted bool, askAfter time.Duration)
}

// limitOf returns the limit of calls to a target.
func limitOf(now time.Time, board notice.Board, t notice.Target) batch.Limit {
	limit := board.Limit(now, t)
	if !limit.IsSet() {
		return batch.Limit{}
	}
	return batch.Limit{Interval: time.Duration(float64(time.Second) / ratelimit.FleetRate(limit.PerSecond))}
}

// claimTargets asks for calls to limited targets while pieces wait; the lock is held.
func (d *Dispatcher) claimTargets(now time.Time, s *shardScheduler, profile route.BatchProfile) {
	targets := s.TargetsToClaim(now, profile)
	if len(targets) == 0 {
		return
	}
	priority, startBy := s.MostUrgent()
	if startBy.IsZero() {
		priority = idlePriority
	}
	if latest := now.Add(maxGrantWait); startBy.IsZero() || startBy.After(latest) {
		startBy = latest
	}
	for _, t := range targets {
		c := ratelimit.Claim{ID: d.cfg.Self + "/call/" + t.ID, Targets: []notice.Target{t.Run()}, Priority: priority, Worth: 1, StartBy: startBy}
		go d.claimTarget(s, t, c)
	}
}

func (d *Dispatcher) claimTarget(s *shardScheduler, t registry.Target, c ratelimit.Claim) {
	granted, askAfter := d.cfg.Permits.Grant(context.Background(), t, c)
	now := d.cfg.Now()
	d.mu.Lock()
	if granted {
		s.RecordGrant(now, t)
	} else {
		s.RecordNoGrant(t, now.Add(askAfter))
	}
	d.mu.Unlock()
	if granted {
		d.Refresh()
		return
	}
	time.AfterFunc(askAfter, d.Refresh)
}

// freeWithGrant frees the results at a limited target that are collected until a call is granted.
func (d *Dispatcher) freeWithGrant(t registry.Target, handles []string) {
	d.mu.Lock()
	_, isWaiting := d.limitedFrees[t.Address]
	d.limitedFrees[t.Address] = append(d.limitedFrees[t.Address], handles...)
	d.mu.Unlock()
	if isWaiting {
		return
	}
	go func() {
		started := d.cfg.Now()
		// Results that are freed by one call take fewer places of calls that make some.
		time.Sleep(min(freeSpacing*limitOf(started, d.cfg.Notices.Board(), t.Run()).Interval, maxFreeDelay/2))
		granted := false
		for now := started; !granted && now.Sub(started) < maxFreeDelay; now = d.cfg.Now() {
			var askAfter time.Duration
			granted, askAfter = d.cfg.Permits.Grant(context.Background(), t, ratelimit.Claim{
				ID: d.cfg.Self + "/free/" + t.ID, Targets: []notice.Target{t.Run()}, Priority: freePriority, Worth: 1, StartBy: now.Add(maxGrantWait),
			})
			if !granted {
				time.Sleep(askAfter)
			}
		}
		d.mu.Lock()
		list := d.limitedFrees[t.Address]
		delete(d.limitedFrees, t.Address)
		d.mu.Unlock()
		if !granted {
			d.cfg.Log.WithFields(logrus.Fields{"target": t.ID, "results": len(list)}).Warn("desk: results were not freed, the target limits what it takes; they expire by their TTL")
			return
		}
		d.freeOnTarget(t.Address, list)
	}()
}
