package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// CarryWindow bounds the rows that a holder hands on when the platform comes back from an older copy: those of requests that were
// not over for longer. It is the oldest copy that loses no row, and covers settlements that are retried.
const CarryWindow = 20 * time.Minute

// Carry holds what former holders of a shard knew, which the log lacks if the platform has come back from an older copy.
type Carry struct {
	// Era and Generation are those of the latest holder.
	Era        uint64 `json:"era"`
	Generation uint64 `json:"generation"`
	// Rows are the rows that were durable and may be lost.
	Rows []Row `json:"rows,omitempty"`
}

// Merge returns what two carries know together at now.
func (c Carry) Merge(now time.Time, other Carry) Carry {
	merged := Carry{Era: max(c.Era, other.Era), Generation: max(c.Generation, other.Generation)}
	oldest := now.Add(-CarryWindow).UnixMilli()
	c.Rows, other.Rows = recentRows(c.Rows, oldest), recentRows(other.Rows, oldest)
	switch {
	case len(other.Rows) == 0:
		merged.Rows = c.Rows
		return merged
	case len(c.Rows) == 0:
		merged.Rows = other.Rows
		return merged
	}
	newest := make(map[string]Row, len(c.Rows)+len(other.Rows))
	addNewer(newest, []Carry{c, other})
	merged.Rows = slices.SortedFunc(maps.Values(newest), compareKeys)
	return merged
}

// recentRows returns the rows of requests that were not over before a time in Unix milliseconds.
func recentRows(rows []Row, oldestMs int64) []Row {
	if !slices.ContainsFunc(rows, func(r Row) bool { return r.ExpiresAtMs < oldestMs }) {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.ExpiresAtMs < oldestMs })
}

// Era returns the platform's era in which the holder has opened the shard.
func (h *Holder) Era() uint64 { return h.era }

// Suspend ends the holder because the platform has come back from an older copy, and returns what it knows. It grants and
// confirms nothing afterwards.
func (h *Holder) Suspend() Carry {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markLostLocked()
	oldest := h.cfg.Now().Add(-CarryWindow).UnixMilli()
	c := Carry{Era: h.era, Generation: h.generation}
	for _, r := range h.shard.rows {
		if r.ExpiresAtMs >= oldest {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, compareKeys)
	return c
}

// addNewer adds the rows of carries to those of a stored log where they were written later, and returns the rows added.
//
// The stored head alone does not tell what is newer: a holder that does not know of the new era may have written it there, under the
// name of its own era, without the rows that were lost.
func addNewer(stored map[string]Row, carries []Carry) []Row {
	added := map[string]Row{}
	for _, c := range carries {
		for _, r := range c.Rows {
			if old, ok := stored[r.Key]; !ok || r.Stamp.after(old.Stamp) {
				stored[r.Key], added[r.Key] = r, r
			}
		}
	}
	return slices.SortedFunc(maps.Values(added), compareKeys)
}

func compareKeys(a, b Row) int { return cmp.Compare(a.Key, b.Key) }

// isOfEra reports whether an object was read or written in the era in which the holder opened the shard.
func (h *Holder) isOfEra(o object.Object) bool { return o.Version.Era() == h.era }
