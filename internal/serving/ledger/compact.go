package ledger

import (
	"context"
	"errors"
	"slices"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// compact rewrites those rows of the oldest segments that must be retained, and drops these segments from the log.
func (h *Holder) compact(ctx context.Context) {
	h.mu.Lock()
	if len(h.segments) <= h.compactAbove || h.unavailable || h.lost {
		h.mu.Unlock()
		return
	}
	old := h.segments[:compactBatch]
	rows := h.retainedRows(old)
	kept := slices.Clone(h.segments[compactBatch:])
	h.mu.Unlock()
	for _, part := range splitRows(rows) {
		s, err := h.writeSegment(ctx, part)
		if err != nil {
			// The log is whole without the new segments; the next compaction starts over.
			h.markUnused(s)
			return
		}
		kept = append(kept, s)
	}
	next := h.nextHead(kept, h.head.Rows)
	if !h.writeHead(ctx, next, 0) {
		return
	}
	h.mu.Lock()
	h.segments = kept
	h.compactAbove = max(minSegments, len(kept)+compactBatch)
	h.mu.Unlock()
	h.markUnused(old...)
}

// retainedRows drops expired rows from the shard, and returns the rows that must be retained of the keys in segments.
func (h *Holder) retainedRows(segments []logSegment) []Row {
	now := h.cfg.Now()
	seen := map[string]bool{}
	var rows []Row
	for _, s := range segments {
		for _, key := range s.keys {
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
		size += r.size()
	}
	return parts
}

// unusedRetention is how long objects that the head no longer names are kept. A call that deletes them may take effect after the
// platform has come back from an older copy, whose head may still name them.
const unusedRetention = CarryWindow

// markUnused queues objects that the head does not name for deletion.
func (h *Holder) markUnused(segments ...logSegment) {
	now := h.cfg.Now()
	for _, s := range segments {
		s.unusedSince = now
		h.unused = append(h.unused, s)
	}
}

// removeUnused deletes the objects that have been unused for long enough; what the platform does not delete now is tried again
// after the next commit.
func (h *Holder) removeUnused(ctx context.Context) {
	for len(h.unused) > 0 && h.cfg.Now().Sub(h.unused[0].unusedSince) >= unusedRetention {
		s := h.unused[0]
		err := h.removeSegment(ctx, s)
		if err != nil && !errors.Is(err, object.ErrNotFound) {
			return
		}
		h.unused = h.unused[1:]
	}
}

func (h *Holder) removeSegment(ctx context.Context, s logSegment) error {
	if s.version == 0 {
		// The response to its write was lost.
		o, err := h.cfg.Store.Get(ctx, Kind, s.name)
		if err != nil {
			return err
		}
		s.version = o.Version
	}
	return h.cfg.Store.Delete(ctx, Kind, s.name, s.version)
}
