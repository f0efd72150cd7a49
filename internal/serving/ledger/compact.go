package ledger

import (
	"context"
	"errors"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// compact rewrites those rows of the oldest segments that must be retained, then deletes the segments.
func (h *Holder) compact(ctx context.Context) {
	h.mu.Lock()
	if len(h.segmentKeys) <= compactAbove || h.unavailable || h.lost {
		h.mu.Unlock()
		return
	}
	from, to := h.oldest, h.oldest+compactBatch
	rows := h.retainedRows(from, to)
	seq := h.seq + 1
	h.mu.Unlock()
	for _, part := range splitRows(rows) {
		created, err := h.create(ctx, seq, h.newSegment(part))
		if err != nil {
			// The write may have taken effect; the next holder of the shard reads what was stored.
			h.setUnavailable(true)
			h.markLost()
			return
		}
		if !created {
			h.markLost()
			return
		}
		h.mu.Lock()
		h.apply(seq, nil)
		h.segmentKeys[seq] = keysOf(part)
		h.seq = seq
		h.mu.Unlock()
		seq++
	}
	h.removeSegments(ctx, from, to)
}

func keysOf(rows []Row) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// retainedRows drops expired rows from the shard, and returns the rows that must be retained of the keys in the segments
// numbered [from, to).
func (h *Holder) retainedRows(from, to uint64) []Row {
	now := h.cfg.Now()
	seen := map[string]bool{}
	var rows []Row
	for seq := from; seq < to; seq++ {
		for _, key := range h.segmentKeys[seq] {
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

func splitRows(rows []Row) [][]Row {
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

func (h *Holder) removeSegments(ctx context.Context, from, to uint64) {
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
		delete(h.segmentKeys, seq)
		h.oldest = seq + 1
		h.mu.Unlock()
	}
}
