package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// newSegment returns a segment that can be told apart from every other write of any holder.
func (h *Holder) newSegment(rows []Row) Segment {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nonce++
	return Segment{Writer: h.cfg.Writer, Nonce: h.nonce, Rows: rows}
}

// create writes a segment. After a lost response it reads the segment back to learn whether the write took effect.
// It returns false if another holder has written the segment first.
func (h *Holder) create(ctx context.Context, seq uint64, s Segment) (bool, error) {
	name := SegmentName(h.cfg.Shard, seq)
	h.mu.Lock()
	h.writes++
	h.mu.Unlock()
	_, err := h.cfg.Store.Put(ctx, Kind, name, 0, s)
	if err == nil {
		return true, nil
	}
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return isOwnWrite(conflict.Current.Value, s), nil
	}
	o, readErr := h.cfg.Store.Get(ctx, Kind, name)
	if readErr != nil {
		return false, err
	}
	return isOwnWrite(o.Value, s), nil
}

func isOwnWrite(value []byte, s Segment) bool {
	var stored Segment
	if json.Unmarshal(value, &stored) != nil {
		return false
	}
	return stored.Writer == s.Writer && stored.Nonce == s.Nonce
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
		sleep(ctx, h.cfg.CommitInterval)
	}
}

// flush writes the pending rows; it retries until the write succeeds, the shard is lost or maxTries is reached (0 means
// until ctx ends), and gives up the shard if the rows are not written.
func (h *Holder) flush(ctx context.Context, maxTries int) {
	batch := h.takeBatch()
	if len(batch) == 0 {
		return
	}
	seq := h.seq + 1
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	s := h.newSegment(rows)
	for n := 1; ; n++ {
		created, err := h.create(ctx, seq, s)
		if err == nil {
			h.finishBatch(created, seq, batch)
			return
		}
		h.setUnavailable(true)
		if n == maxTries || (maxTries == 0 && ctx.Err() != nil) {
			h.markLost()
			return
		}
		sleep(ctx, writeBackoff)
	}
}

// takeBatch removes pending operations and returns them as a batch, up to the size of a segment.
func (h *Holder) takeBatch() []*operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	size, n := 0, 0
	for n < len(h.pending) && size < MaxSegmentBytes {
		size += 200 + len(h.pending[n].row.Body)*4/3
		n++
	}
	batch := h.pending[:n:n]
	h.pending = h.pending[n:]
	if len(h.pending) > 0 {
		h.wakeRun()
	}
	return batch
}

func (h *Holder) finishBatch(created bool, seq uint64, batch []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = false
	if !created {
		h.markLostLocked()
		return
	}
	h.seq = seq
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	h.apply(seq, rows)
	for _, op := range batch {
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
