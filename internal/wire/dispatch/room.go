package dispatch

import (
	"errors"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
)

// recordUnanswered records that the target of a failed call may hold its results: its response was lost, or it has been given up. The
// lock is held.
func (d *Dispatcher) recordUnanswered(now time.Time, s *shardScheduler, c *batch.Call, err error) {
	if errors.Is(err, connection.ErrUnsent) || errors.Is(err, batch.ErrNoResults) {
		return
	}
	profile, ok := d.batchProfile(s.service)
	if !ok {
		return
	}
	c.RecordUnanswered(now, profile)
	// The target is asked for its space once its back-off is over.
	d.scheduleRecheck(s)
}

// freeUndelivered frees the results of a group whose caller is gone: nothing else frees them before they expire.
func (d *Dispatcher) freeUndelivered(results []batch.Result) {
	var handles []string
	for _, r := range results {
		if r.Handle != "" {
			handles = append(handles, r.Handle)
		}
	}
	d.Free(handles)
}

// expiryReason returns why a piece has expired, for logs and metrics.
func expiryReason(p batch.Piece) string {
	if p.LacksRoom {
		return "without room"
	}
	return "late"
}
