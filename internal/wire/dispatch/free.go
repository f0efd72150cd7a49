package dispatch

import (
	"context"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// Free gives results up; the calls that say so are made a little later, together.
func (d *Dispatcher) Free(handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handles {
		d.free(batch.HandleAddress(h), h)
	}
}

// free collects a result to be given up; the lock is held.
func (d *Dispatcher) free(address, handle string) {
	d.frees[address] = append(d.frees[address], handle)
	if d.timer == nil {
		d.timer = time.AfterFunc(freeEvery, d.flush)
	}
}

func (d *Dispatcher) flush() {
	d.mu.Lock()
	frees := d.frees
	d.frees = map[string][]string{}
	d.timer = nil
	d.mu.Unlock()
	for address, handles := range frees {
		go d.give(address, handles)
	}
}

// give makes one call and counts the space as free only once the target has confirmed it.
func (d *Dispatcher) give(address string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := d.cfg.Targets.Free(ctx, address, handles); err != nil {
		d.cfg.Log.WithError(err).WithField("address", address).Warn("desk: results were not freed, they end by their time")
		return
	}
	d.mu.Lock()
	for _, l := range d.lines {
		l.ReleaseResults(address, handles)
	}
	d.mu.Unlock()
	d.Refresh()
}
