package ledger

import (
	"context"
	"errors"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// clean rewrites what must be kept of the oldest segments, then deletes those.
func (h *Holder) clean(ctx context.Context) {
	h.mu.Lock()
	if len(h.segments) <= cleanAbove || h.down || h.lost {
		h.mu.Unlock()
		return
	}
	from, to := h.oldest, h.oldest+cleanBatch
	rows := h.keep(from, to)
	seq := h.seq + 1
	h.mu.Unlock()
	for _, part := range split(rows) {
		won, err := h.create(ctx, seq, h.segment(part))
		if err != nil {
			// The write may have taken effect; whoever opens the shard next reads what is there.
			h.setDown(true)
			h.lose()
			return
		}
		if !won {
			h.lose()
			return
		}
		h.mu.Lock()
		h.apply(seq, nil)
		h.segments[seq] = keysOf(part)
		h.seq = seq
		h.mu.Unlock()
		seq++
	}
	h.remove(ctx, from, to)
}

func keysOf(rows []Row) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// keep lists the current rows of the keys that segments from up to to speak of.
func (h *Holder) keep(from, to uint64) []Row {
	now := h.cfg.Now()
	seen := map[string]bool{}
	var rows []Row
	for seq := from; seq < to; seq++ {
		for _, key := range h.segments[seq] {
			if seen[key] {
				continue
			}
			seen[key] = true
			if r, ok := h.shard.Retained(now, key); ok {
				rows = append(rows, r)
			}
		}
	}
	h.shard.DropExpired(now)
	return rows
}

func split(rows []Row) [][]Row {
	var parts [][]Row
	size := MaxSegmentBytes
	for _, r := range rows {
		if size >= MaxSegmentBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], r)
		size += 200 + len(r.Body)*4/3
	}
	return parts
}

func (h *Holder) remove(ctx context.Context, from, to uint64) {
	for seq := from; seq < to; seq++ {
		name := SegmentName(h.cfg.Shard, seq)
		o, err := h.cfg.Store.Get(ctx, Kind, name)
		if err == nil {
			err = h.cfg.Store.Delete(ctx, Kind, name, o.Version)
		}
		if err != nil && !errors.Is(err, object.ErrNotFound) {
			return
		}
		h.mu.Lock()
		delete(h.segments, seq)
		h.oldest = seq + 1
		h.mu.Unlock()
	}
}
