package gateway

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/coldstart"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
)

const (
	// minBackoff and maxBackoff bound the back-off of a target after failures.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// loadRetention is how long the state of an unused target is kept.
	loadRetention = time.Minute
)

// targetLoads is what this node knows of targets from its own requests.
type targetLoads struct {
	mu   *sync.Mutex
	byID map[string]*targetLoad
}

type targetLoad struct {
	running       int
	pendingTokens int
	failures      int
	backoffUntil  time.Time
	cold          coldstart.SendWindow
	lastUsed      time.Time
}

func newLoads() targetLoads { return targetLoads{mu: &sync.Mutex{}, byID: map[string]*targetLoad{}} }

func (l targetLoads) get(now time.Time, id string) *targetLoad {
	x, ok := l.byID[id]
	if !ok {
		x = &targetLoad{}
		l.byID[id] = x
	}
	x.lastUsed = now
	return x
}

// candidates combines targets with their known load; those that have been tried or said that they leave are left out. The
// times to ask for grants are not set.
func (l targetLoads) candidates(now time.Time, targets []registry.Target, tried map[string]bool, board notice.Board) []balancer.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []balancer.Candidate
	for _, t := range targets {
		if tried[t.ID] || board.Leaving(t.Run()) {
			continue
		}
		c := balancer.Candidate{
			Target: t, PausedUntil: board.PausedUntil(now, t.Run()), Recovering: board.Recovering(now, t.Run()), IsLimited: board.Limit(now, t.Run()).IsSet(),
		}
		if x, ok := l.byID[t.ID]; ok {
			c.Running, c.PendingTokens, c.InBackoff = x.running, x.pendingTokens, now.Before(x.backoffUntil)
		}
		list = append(list, c)
	}
	return list
}

// isColdFull reports whether a target is cold and has received this node's share of its cold limit.
func (l targetLoads) isColdFull(now time.Time, t registry.Target, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.Cold(now) && l.get(now, t.ID).cold.IsFull(now, share)
}

// start counts a request with prompt tokens at a target. It returns false if the target is cold and has already
// received this node's share of its cold limit.
func (l targetLoads) start(now time.Time, t registry.Target, tokens, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(now, t.ID)
	if t.Cold(now) {
		var ok bool
		if x.cold, ok = x.cold.Take(now, share); !ok {
			return false
		}
	}
	x.running++
	x.pendingTokens += tokens
	return true
}

// running returns the number of this node's requests at a target.
func (l targetLoads) running(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.byID[id]; ok {
		return x.running
	}
	return 0
}

// recordPromptRead records that a target has read the prompt of a request.
func (l targetLoads) recordPromptRead(now time.Time, id string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(now, id).pendingTokens -= tokens
}

// finish records that a request has ended at a target, and whether the target failed it. It returns the back-off.
func (l targetLoads) finish(now time.Time, id string, targetFailed bool) (backoff time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(now, id)
	x.running--
	if !targetFailed {
		x.failures = 0
		return 0
	}
	x.failures++
	backoff = min(maxBackoff, minBackoff<<min(x.failures-1, 6))
	x.backoffUntil = now.Add(backoff)
	return backoff
}

// prune drops the state of targets that have had no request for loadRetention.
func (l targetLoads) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, x := range l.byID {
		if x.running == 0 && now.Sub(x.lastUsed) > loadRetention {
			delete(l.byID, id)
		}
	}
}

// PruneTargets drops the load state of targets that are no longer used.
func (g *Gateway) PruneTargets(now time.Time) { g.loads.prune(now) }
