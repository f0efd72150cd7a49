package ratelimit

import (
	"maps"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

// AnyRank is the rank of hints that hold for every claim.
const AnyRank = -1

// Hints is what a node was told of when to ask again, by target, keeper and rank of the claim; the zero value is empty. It is
// not safe for concurrent use.
type Hints struct {
	at map[notice.Target]map[hintKey]time.Time
	// asking holds the targets for which a claim of a request that goes elsewhere is under way.
	asking map[notice.Target]bool
}

type hintKey struct {
	keeper string
	rank   int
}

// Set records that a keeper has no grant for a target before a time, for claims of a rank or behind it.
func (h *Hints) Set(now time.Time, t notice.Target, keeper string, rank int, at time.Time) {
	if h.at == nil {
		h.at = map[notice.Target]map[hintKey]time.Time{}
	}
	if h.at[t] == nil {
		h.prune(now)
		h.at[t] = map[hintKey]time.Time{}
	}
	h.at[t][hintKey{keeper, rank}] = at
}

func (h *Hints) prune(now time.Time) {
	maps.DeleteFunc(h.at, func(_ notice.Target, hints map[hintKey]time.Time) bool {
		maps.DeleteFunc(hints, func(_ hintKey, at time.Time) bool { return at.Before(now) })
		return len(hints) == 0
	})
}

// Drop forgets what was told of a target.
func (h *Hints) Drop(t notice.Target) { delete(h.at, t) }

// Next returns which keeper to ask first for a target, and when, for a claim of a rank; false if there are no keepers. Of
// those that may be asked at now the first one in the list is returned.
func (h *Hints) Next(now time.Time, t notice.Target, keepers []string, rank int) (keeper string, at time.Time, ok bool) {
	for _, k := range keepers {
		next := now
		for key, hint := range h.at[t] {
			if key.keeper == k && key.rank <= rank && hint.After(next) {
				next = hint
			}
		}
		if !ok || next.Before(at) {
			keeper, at, ok = k, next, true
		}
	}
	return keeper, at, ok
}

// Earliest returns which keeper to ask first for any of several targets, and when.
func (h *Hints) Earliest(now time.Time, targets []notice.Target, keepers []string, rank int) (keeper string, at time.Time, ok bool) {
	for _, t := range targets {
		if k, next, found := h.Next(now, t, keepers, rank); found && (!ok || next.Before(at)) {
			keeper, at, ok = k, next, true
		}
	}
	return keeper, at, ok
}

// IsAsking reports whether a claim of a request that goes elsewhere is under way for a target.
func (h *Hints) IsAsking(t notice.Target) bool { return h.asking[t] }

// Begin records such a claim; false if there is one already. A keeper takes each for another node that wants a grant of its own,
// and tells a later time to each.
func (h *Hints) Begin(t notice.Target) bool {
	if h.asking[t] {
		return false
	}
	if h.asking == nil {
		h.asking = map[notice.Target]bool{}
	}
	h.asking[t] = true
	return true
}

// End records that the claim has been decided.
func (h *Hints) End(t notice.Target) { delete(h.asking, t) }
