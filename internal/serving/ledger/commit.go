package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// nextHead returns a head that can be told apart from every other write of any holder.
func (h *Holder) nextHead(segments []logSegment, rows []Row) Head {
	h.nonce++
	return Head{
		Writer:     h.cfg.Writer,
		Nonce:      h.nonce,
		Generation: h.head.Generation,
		Segments:   namesOf(segments),
		Rows:       rows,
	}
}

// writeSegment writes rows under a new name of this holder; the head has to name the segment before it counts.
func (h *Holder) writeSegment(ctx context.Context, rows []Row) (logSegment, error) {
	h.number++
	s := logSegment{name: segmentName(h.cfg.Shard, h.era, h.head.Generation, h.number), keys: keysOf(rows)}
	return s, h.putSegment(ctx, &s, rows)
}

// putSegment writes a segment and sets its version. A segment that exists was written by an earlier try.
func (h *Holder) putSegment(ctx context.Context, s *logSegment, rows []Row) error {
	h.countWrite()
	o, err := h.cfg.Store.Put(ctx, Kind, s.name, 0, Segment{Rows: rows})
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		o, err = conflict.Current, nil
	}
	s.version = o.Version
	return err
}

// putHead replaces the head. After a lost response it reads the head back to learn whether the write took effect.
// It returns false if another holder has replaced the head, or if the platform has come back from an older copy.
func (h *Holder) putHead(ctx context.Context, next Head) (bool, error) {
	h.countWrite()
	name := HeadName(h.cfg.Shard, h.era)
	o, err := h.cfg.Store.Put(ctx, Kind, name, h.headVersion, next)
	var conflict *object.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		o = conflict.Current
	case h.headVersion != 0 && errors.Is(err, object.ErrNotFound), errors.Is(err, object.ErrEraChanged):
		return false, nil
	default:
		current, readErr := h.cfg.Store.Get(ctx, Kind, name)
		if readErr != nil || current.Version == h.headVersion {
			// The write may still take effect, so only the same head may follow it.
			return false, err
		}
		o = current
	}
	if !h.isOfEra(o) || !isSameWrite(o.Value, next) {
		return false, nil
	}
	h.head, h.headVersion = next, o.Version
	return true, nil
}

func isSameWrite(value []byte, want Head) bool {
	var stored Head
	if json.Unmarshal(value, &stored) != nil {
		return false
	}
	return stored.Writer == want.Writer && stored.Nonce == want.Nonce
}

// writeHead replaces the head; it retries until the outcome is known, or maxTries is reached (0 means until ctx ends).
// It gives up the shard and returns false if the head is not known to be written.
func (h *Holder) writeHead(ctx context.Context, next Head, maxTries int) bool {
	written := false
	done := h.retry(ctx, maxTries, func() error {
		var err error
		written, err = h.putHead(ctx, next)
		return err
	})
	if !done || !written {
		h.markLost()
		return false
	}
	h.setUnavailable(false)
	return true
}

// retry runs write until it succeeds, or maxTries is reached (0 means until ctx ends), and reports whether it succeeded.
func (h *Holder) retry(ctx context.Context, maxTries int, write func() error) bool {
	for n := 1; write() != nil; n++ {
		h.setUnavailable(true)
		if n == maxTries || (maxTries == 0 && ctx.Err() != nil) {
			return false
		}
		sleep(ctx, writeBackoff)
	}
	return true
}

// Run commits pending operations until ctx ends or the shard is lost; at the end of ctx it tries once to commit the rest.
func (h *Holder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			h.flush(context.WithoutCancel(ctx), 1)
			h.markLost()
			return
		case <-h.wake:
		}
		if h.Lost() {
			return
		}
		h.flush(ctx, 0)
		if h.Lost() {
			return
		}
		h.compact(ctx)
		h.removeUnused(ctx)
		sleep(ctx, h.cfg.CommitInterval)
	}
}

// flush commits the pending rows; it retries until the commit succeeds, the shard is lost or maxTries is reached (0 means
// until ctx ends), and gives up the shard if the rows are not committed.
func (h *Holder) flush(ctx context.Context, maxTries int) {
	batch := h.takeBatch()
	if len(batch) == 0 {
		return
	}
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	segments := h.segments
	headRows := append(slices.Clip(h.head.Rows), rows...)
	if len(h.head.Rows) > 0 && rowsSize(headRows) > maxHeadBytes {
		s, ok := h.spill(ctx, maxTries)
		if !ok {
			h.markLost()
			return
		}
		segments, headRows = append(slices.Clip(segments), s), rows
	}
	if !h.writeHead(ctx, h.nextHead(segments, headRows), maxTries) {
		return
	}
	h.finishBatch(segments, batch)
}

// spill writes the rows of the head to a segment; it retries like flush.
func (h *Holder) spill(ctx context.Context, maxTries int) (logSegment, bool) {
	rows := h.head.Rows
	s, err := h.writeSegment(ctx, rows)
	if err == nil {
		return s, true
	}
	h.setUnavailable(true)
	if maxTries == 1 {
		return s, false
	}
	sleep(ctx, writeBackoff)
	ok := h.retry(ctx, maxTries, func() error { return h.putSegment(ctx, &s, rows) })
	return s, ok
}

// takeBatch removes pending operations and returns them as a batch, up to the size of a segment.
func (h *Holder) takeBatch() []*operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	size, n := 0, 0
	for n < len(h.pending) && size < MaxSegmentBytes {
		size += h.pending[n].row.size()
		n++
	}
	batch := h.pending[:n:n]
	h.pending = h.pending[n:]
	if len(h.pending) > 0 {
		h.wakeRun()
	}
	return batch
}

func (h *Holder) finishBatch(segments []logSegment, batch []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		// A suspended holder has already handed on what it knows.
		return
	}
	h.segments = segments
	for _, op := range batch {
		h.shard.Apply(op.row)
		h.finishOperation(op)
	}
	h.notify()
}

// finishOperation completes one committed operation; a claim that its claimer has abandoned is voided, since its request
// was never sent.
func (h *Holder) finishOperation(op *operation) {
	if h.pendingClaims[op.row.Key] == op {
		delete(h.pendingClaims, op.row.Key)
	}
	if op.abandoned {
		r := op.row
		r.State = Void
		h.enqueue(r)
	}
	close(op.done)
}

func (h *Holder) enqueue(r Row) *operation {
	h.rowNumber++
	r.Stamp = Stamp{Era: h.era, Generation: h.generation, Number: h.rowNumber}
	op := &operation{row: r, done: make(chan struct{})}
	h.pending = append(h.pending, op)
	h.wakeRun()
	return op
}

func (h *Holder) wakeRun() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Holder) setUnavailable(unavailable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = unavailable
	h.notify()
}

func (h *Holder) markLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markLostLocked()
}

func (h *Holder) markLostLocked() {
	h.lost = true
	h.notify()
}
