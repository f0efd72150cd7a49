package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// Free queues results to be freed; those queued within freeInterval are freed together.
func (d *Dispatcher) Free(handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handles {
		d.queueFree(batch.HandleAddress(h), h)
	}
}

// queueFree adds a result to those that are freed next; the lock is held.
func (d *Dispatcher) queueFree(address, handle string) {
	d.pendingFrees[address] = append(d.pendingFrees[address], handle)
	if d.freeTimer == nil {
		d.freeTimer = time.AfterFunc(freeInterval, d.flushFrees)
	}
}

func (d *Dispatcher) flushFrees() {
	d.mu.Lock()
	pending := d.pendingFrees
	d.pendingFrees = map[string][]string{}
	d.freeTimer = nil
	d.mu.Unlock()
	for address, handles := range pending {
		if wait := d.pauseAt(address); wait > 0 {
			d.freeLater(wait, address, handles)
			continue
		}
		if t, ok := d.cfg.Registry().AtAddress(address); ok && d.cfg.Notices.Board().Limit(d.cfg.Now(), t.Run()).IsSet() {
			d.freeWithGrant(t, handles)
			continue
		}
		go d.freeOnTarget(address, handles)
	}
}

// maxFreeDelay is how long results wait for the end of their target's pause; they expire by their TTL in about that time.
const maxFreeDelay = 10 * time.Second

// freeLater queues results again once their target takes requests.
func (d *Dispatcher) freeLater(wait time.Duration, address string, handles []string) {
	if wait > maxFreeDelay {
		d.cfg.Log.WithFields(logrus.Fields{"address": address, "results": len(handles), "wait_ms": wait.Milliseconds()}).Warn("desk: results were not freed, the target is paused; they expire by their TTL")
		return
	}
	time.AfterFunc(wait, func() { d.Free(handles) })
}

// pauseAt returns how long the target at an address wants no requests.
func (d *Dispatcher) pauseAt(address string) time.Duration {
	now := d.cfg.Now()
	t, ok := d.cfg.Registry().AtAddress(address)
	if !ok {
		return 0
	}
	until := d.cfg.Notices.Board().PausedUntil(now, t.Run())
	if until.IsZero() {
		return 0
	}
	return until.Sub(now)
}

// freeOnTarget frees results on a target; their space counts as free only once the target has confirmed it.
func (d *Dispatcher) freeOnTarget(address string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	record := notice.Recorder(func([]notice.Notice, error) {})
	if t, ok := d.cfg.Registry().AtAddress(address); ok {
		record = d.recorder(t.Run())
	}
	if err := d.cfg.Targets.Free(ctx, address, handles, record); err != nil {
		d.cfg.Log.WithError(err).WithField("address", address).Warn("desk: results were not freed; they expire by their TTL")
		return
	}
	d.mu.Lock()
	for _, s := range d.schedulers {
		s.ReleaseResults(address, handles)
	}
	d.mu.Unlock()
	d.Refresh()
}
