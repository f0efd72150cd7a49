package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// segment makes a segment that no other write of any holder is mistaken for.
func (h *Holder) segment(rows []Row) Segment {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nonce++
	return Segment{Writer: h.cfg.Writer, Nonce: h.nonce, Rows: rows}
}

// create writes a segment; a lost answer is settled by reading it back. False means that another holder was first.
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
		return own(conflict.Current.Value, s), nil
	}
	o, readErr := h.cfg.Store.Get(ctx, Kind, name)
	if readErr != nil {
		return false, err
	}
	return own(o.Value, s), nil
}

func own(value []byte, s Segment) bool {
	var there Segment
	if json.Unmarshal(value, &there) != nil {
		return false
	}
	return there.Writer == s.Writer && there.Nonce == s.Nonce
}

// Run commits what is pending until ctx ends or the shard is lost; it then commits the rest once.
func (h *Holder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			h.flush(context.WithoutCancel(ctx), 1)
			h.lose()
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
		h.clean(ctx)
		pause(ctx, h.cfg.CommitInterval)
	}
}

// flush writes the pending rows; it tries until it is done, the shard is lost or tries are used up (0 is no bound).
func (h *Holder) flush(ctx context.Context, tries int) {
	batch := h.take()
	if len(batch) == 0 {
		return
	}
	seq := h.seq + 1
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	s := h.segment(rows)
	for n := 1; ; n++ {
		won, err := h.create(ctx, seq, s)
		if err == nil {
			h.committed(won, seq, batch)
			return
		}
		h.setDown(true)
		if n == tries || (tries == 0 && ctx.Err() != nil) {
			h.lose()
			return
		}
		pause(ctx, writeBackoff)
	}
}

// take moves pending rows into a batch, up to a segment's size.
func (h *Holder) take() []*operation {
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
		h.poke()
	}
	return batch
}

func (h *Holder) committed(won bool, seq uint64, batch []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = false
	if !won {
		h.loseLocked()
		return
	}
	h.seq = seq
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	h.apply(seq, rows)
	for _, op := range batch {
		h.finish(op)
	}
	h.announce()
}

// finish ends one committed operation; a claim whose claimer has left is void, since it was never sent.
func (h *Holder) finish(op *operation) {
	if h.claims[op.row.Key] == op {
		delete(h.claims, op.row.Key)
	}
	if op.gone {
		r := op.row
		r.State = Void
		h.push(r)
	}
	close(op.done)
}

func (h *Holder) push(r Row) *operation {
	op := &operation{row: r, done: make(chan struct{})}
	h.pending = append(h.pending, op)
	h.poke()
	return op
}

func (h *Holder) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Holder) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
	h.announce()
}

func (h *Holder) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loseLocked()
}

func (h *Holder) loseLocked() {
	h.lost = true
	h.announce()
}
