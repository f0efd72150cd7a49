package ratelimit

import (
	"slices"
	"time"
)

// SettleTime is how long a node waits before it grants anything after it has started, or after the list of nodes has made it a
// keeper: the time in which the former keeper learns that it no longer is one.
const SettleTime = time.Second

// Tenure is whether one node keeps the limits of a pool; the zero value does not.
type Tenure struct {
	isKeeper bool
	since    time.Time
	// isActing is set once the node grants.
	isActing bool
}

// View is what a node knows of the fleet when it decides whether it keeps the limits of a pool.
type View struct {
	Self string
	// Ranked lists the nodes in their order for the pool.
	Ranked []string
	// IsLost reports whether a node has not answered this one since it last did.
	IsLost func(node string) bool
	// StartedAt is when this node started, ChangedAt when its list of nodes last changed.
	StartedAt time.Time
	ChangedAt time.Time
}

// With returns the tenure at now, and the keepers that the node knows.
//
// Load pattern: a fleet whose nodes start, stop, freeze and lose each other, so that their lists differ. A node stops to grant as
// soon as it knows that others rank before it, and begins only after these have had the time to stop.
func (t Tenure) With(now time.Time, v View) (Tenure, []string) {
	keepers := Keepers(v.Ranked, func(n string) bool { return n != v.Self && v.IsLost(n) })
	if !slices.Contains(keepers, v.Self) {
		return Tenure{}, keepers
	}
	if !t.isKeeper {
		t = Tenure{isKeeper: true, since: now}
	}
	isSettled := now.Sub(v.ChangedAt) >= SettleTime || now.Sub(t.since) >= SettleTime
	t.isActing = t.isActing || isSettled && now.Sub(v.StartedAt) >= SettleTime
	return t, keepers
}

// IsActing reports whether the node grants.
func (t Tenure) IsActing() bool { return t.isActing }

// Ahead lists the nodes that rank before this one and are not known to be lost, at most keeperCount: whether they still answer
// decides whether this node is a keeper.
func (v View) Ahead() []string {
	var list []string
	for _, n := range v.Ranked {
		if n == v.Self || len(list) == keeperCount {
			break
		}
		if !v.IsLost(n) {
			list = append(list, n)
		}
	}
	return list
}
