package notice

import (
	"maps"
	"time"
)

const (
	// MaxPause bounds how long a target may ask to be left alone, so that a wrong value does not take it out for good.
	MaxPause = 5 * time.Minute
	// leavingRetention is how long a target that said it leaves is remembered; it may go on serving for many seconds, and
	// its entry may come back from an older copy of the store.
	leavingRetention = 10 * time.Minute
	// RecoveryTime is how long after a pause the target takes back its share of the load.
	RecoveryTime = time.Second
	// newsPeriod is how long a notice is passed on to other nodes.
	newsPeriod = 3 * time.Second
)

// Target identifies one run of a target, which may start again under the same ID.
type Target struct {
	ID string
	// StartedAt is the start time that the target's entry names.
	StartedAt int64
}

// Notice is what one response says of its target.
type Notice interface{ notice() }

// Leaving is the notice of a target that is shutting down.
type Leaving struct{}

// Pause is the notice of a target that wants no requests from this node for a time.
type Pause struct{ Duration time.Duration }

func (Leaving) notice() {}
func (Pause) notice()   {}

// Board is an immutable record of notices; the zero value is empty.
type Board struct {
	// leavingSince holds when each target first said that it leaves.
	leavingSince map[Target]time.Time
	pausedUntil  map[Target]time.Time
	limits       map[Target]knownLimit
}

// With returns the board with a notice received at now, and reports whether it says anything new.
func (b Board) With(now time.Time, t Target, n Notice) (Board, bool) {
	switch n := n.(type) {
	case Leaving:
		if b.Leaving(t) {
			return b, false
		}
		b.leavingSince = pruned(b.leavingSince, now.Add(-leavingRetention))
		b.leavingSince[t] = now
		return b, true
	case Pause:
		until := now.Add(min(n.Duration, MaxPause))
		if n.Duration <= 0 || !until.After(b.pausedUntil[t]) {
			return b, false
		}
		b.pausedUntil = pruned(b.pausedUntil, now.Add(-RecoveryTime))
		b.pausedUntil[t] = until
		return b, true
	default:
		return b, false
	}
}

// pruned returns a copy of times without those before oldest.
func pruned(times map[Target]time.Time, oldest time.Time) map[Target]time.Time {
	kept := maps.Clone(times)
	if kept == nil {
		kept = map[Target]time.Time{}
	}
	maps.DeleteFunc(kept, func(_ Target, at time.Time) bool { return at.Before(oldest) })
	return kept
}

// Leaving reports whether a target said that it leaves.
func (b Board) Leaving(t Target) bool {
	_, ok := b.leavingSince[t]
	return ok
}

// PausedUntil returns until when a target wants no requests, the zero time if it takes them at now.
func (b Board) PausedUntil(now time.Time, t Target) time.Time {
	if until := b.pausedUntil[t]; now.Before(until) {
		return until
	}
	return time.Time{}
}

// Recovering reports whether a target is paused at now, or was paused or limited within RecoveryTime before.
func (b Board) Recovering(now time.Time, t Target) bool {
	until, ok := b.pausedUntil[t]
	return ok && now.Before(until.Add(RecoveryTime)) || b.limitEnded(now, t)
}

// News lists the targets that have lately said that they leave, for other nodes.
func (b Board) News(now time.Time) []Target {
	var list []Target
	for t, since := range b.leavingSince {
		if now.Sub(since) < newsPeriod {
			list = append(list, t)
		}
	}
	return list
}
