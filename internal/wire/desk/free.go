package desk

import (
	"context"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// Free gives results up; the calls that say so are made a little later, together.
func (d *Desk) Free(handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handles {
		d.free(batch.Address(h), h)
	}
}

// free collects a result to be given up; the lock is held.
func (d *Desk) free(address, handle string) {
	d.frees[address] = append(d.frees[address], handle)
	if d.timer == nil {
		d.timer = time.AfterFunc(freeEvery, d.flush)
	}
}

func (d *Desk) flush() {
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
func (d *Desk) give(address string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := d.cfg.Caller.Free(ctx, address, handles); err != nil {
		d.cfg.Log.WithError(err).WithField("address", address).Warn("desk: results were not freed, they end by their time")
		return
	}
	d.mu.Lock()
	for _, l := range d.lines {
		l.Freed(address, handles)
	}
	d.mu.Unlock()
	d.Changed()
}
