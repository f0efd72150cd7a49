package gateway

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/coldstart"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
)

const (
	// avoidFirst and avoidMost bound how long a target is left alone after failures.
	avoidFirst = 200 * time.Millisecond
	avoidMost  = 3 * time.Second
	// keepState is how long the state of an unused target is kept.
	keepState = time.Minute
)

// loads is what this node knows of targets from its own requests.
type loads struct {
	mu   *sync.Mutex
	list map[string]*load
}

type load struct {
	running int
	unread  int
	fails   int
	avoid   time.Time
	cold    coldstart.SendWindow
	used    time.Time
}

func newLoads() loads { return loads{mu: &sync.Mutex{}, list: map[string]*load{}} }

func (l loads) get(now time.Time, id string) *load {
	x, ok := l.list[id]
	if !ok {
		x = &load{}
		l.list[id] = x
	}
	x.used = now
	return x
}

// candidates joins targets with what is known of them.
func (l loads) candidates(now time.Time, targets []registry.Target, tried map[string]bool) []balancer.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []balancer.Candidate
	for _, t := range targets {
		if tried[t.ID] {
			continue
		}
		c := balancer.Candidate{Target: t}
		if x, ok := l.list[t.ID]; ok {
			c.Running, c.PendingTokens, c.InBackoff = x.running, x.unread, now.Before(x.avoid)
		}
		list = append(list, c)
	}
	return list
}

// begin counts a request with tokens of prompt at a target; false if the target is cold and has its share.
func (l loads) begin(now time.Time, t registry.Target, tokens, share int) bool {
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
	x.unread += tokens
	return true
}

// read says that a target has read the prompt of a request.
func (l loads) read(now time.Time, id string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(now, id).unread -= tokens
}

// end says that a request has left a target, and whether the target failed it.
func (l loads) end(now time.Time, id string, bad bool) (avoid time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(now, id)
	x.running--
	if !bad {
		x.fails = 0
		return 0
	}
	x.fails++
	avoid = min(avoidMost, avoidFirst<<min(x.fails-1, 6))
	x.avoid = now.Add(avoid)
	return avoid
}

// prune forgets targets that have not been used for long.
func (l loads) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, x := range l.list {
		if x.running == 0 && now.Sub(x.used) > keepState {
			delete(l.list, id)
		}
	}
}

// PruneTargets forgets what is known of targets that are long gone.
func (g *Gateway) PruneTargets(now time.Time) { g.loads.prune(now) }
