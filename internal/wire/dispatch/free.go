package dispatch

import (
	"context"
	"time"

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
		go d.freeOnTarget(address, handles)
	}
}

// freeOnTarget frees results on a target; their space counts as free only once the target has confirmed it.
func (d *Dispatcher) freeOnTarget(address string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := d.cfg.Targets.Free(ctx, address, handles); err != nil {
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
