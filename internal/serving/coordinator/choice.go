package coordinator

import (
	"sync"
	"time"
)

const (
	hintAge    = 500 * time.Millisecond
	avoidShort = 200 * time.Millisecond
	draws      = 4
)

// Candidate is a target that may be asked, and the node that seems to own it.
type Candidate struct {
	Target string
	Owner  string
}

// LoadReport is what an owner last said of a target.
type LoadReport struct {
	Running    int
	Queued     int
	Level      int
	Wait       time.Duration
	ReceivedAt time.Time
}

// Selector picks targets by what their owners last said and by what this entry has under way.
type Selector struct {
	mu    sync.Mutex
	hints map[string]*view
}

type view struct {
	hint  LoadReport
	mine  int
	avoid time.Time
}

// NewSelector makes a choice without hints.
func NewSelector() *Selector { return &Selector{hints: map[string]*view{}} }

func (c *Selector) view(target string) *view {
	v, ok := c.hints[target]
	if !ok {
		v = &view{}
		c.hints[target] = v
	}
	return v
}

// UpdateLoad takes in what an owner said.
func (c *Selector) UpdateLoad(target string, h LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(target).hint = h
}

// Avoid keeps a target back for a short while.
func (c *Selector) Avoid(now time.Time, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(target).avoid = now.Add(avoidShort)
}

// AddAttempt and End count what this entry has under way at a target.
func (c *Selector) AddAttempt(target string) { c.count(target, 1) }

// RemoveAttempt is the other side of Begin.
func (c *Selector) RemoveAttempt(target string) { c.count(target, -1) }

func (c *Selector) count(target string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(target).mine += n
}

// Select takes the best of a few targets drawn by pick, among those not tried and preferably not avoided.
func (c *Selector) Select(now time.Time, list []Candidate, tried map[string]bool, pick func(n int) int) (Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var good, rest []Candidate
	for _, x := range list {
		if tried[x.Target] {
			continue
		}
		if now.Before(c.view(x.Target).avoid) {
			rest = append(rest, x)
			continue
		}
		good = append(good, x)
	}
	if len(good) == 0 {
		good = rest
	}
	if len(good) == 0 {
		return Candidate{}, false
	}
	best := good[pick(len(good))]
	for range draws - 1 {
		x := good[pick(len(good))]
		if c.score(now, x.Target) < c.score(now, best.Target) {
			best = x
		}
	}
	return best, true
}

// score is how full a target is, as a part of what it bears.
func (c *Selector) score(now time.Time, target string) float64 {
	v := c.view(target)
	busy := float64(v.mine)
	if now.Sub(v.hint.ReceivedAt) < hintAge {
		busy = max(busy, float64(v.hint.Running+v.hint.Queued))
	}
	return (busy + 1) / float64(max(1, v.hint.Level))
}

// MinWait is the shortest wait that owners have lately told of the list, 0 if any of them is not known.
func (c *Selector) MinWait(now time.Time, list []Candidate) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := time.Duration(-1)
	for _, x := range list {
		v := c.view(x.Target)
		if now.Sub(v.hint.ReceivedAt) >= hintAge {
			return 0
		}
		if least < 0 || v.hint.Wait < least {
			least = v.hint.Wait
		}
	}
	return max(0, least)
}
