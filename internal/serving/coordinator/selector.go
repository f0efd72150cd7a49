package coordinator

import (
	"sync"
	"time"
)

const (
	maxLoadAge  = 500 * time.Millisecond
	backoffTime = 200 * time.Millisecond
	sampleSize  = 4
)

// Candidate is a target that may be selected, and the node that is believed to own it.
type Candidate struct {
	Target string
	Owner  string
}

// LoadReport is the last load of a target that its owner reported.
type LoadReport struct {
	Running          int
	Queued           int
	ConcurrencyLimit int
	Wait             time.Duration
	ReceivedAt       time.Time
}

// Selector selects targets by the load that their owners reported and by the attempts of this coordinator.
type Selector struct {
	mu      sync.Mutex
	targets map[string]*targetState
}

type targetState struct {
	load         LoadReport
	attempts     int
	backoffUntil time.Time
}

// NewSelector returns a selector that knows no loads.
func NewSelector() *Selector { return &Selector{targets: map[string]*targetState{}} }

func (s *Selector) state(target string) *targetState {
	v, ok := s.targets[target]
	if !ok {
		v = &targetState{}
		s.targets[target] = v
	}
	return v
}

// UpdateLoad records the load that an owner reported for a target.
func (s *Selector) UpdateLoad(target string, r LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).load = r
}

// BackOff puts a target in back-off for a short time.
func (s *Selector) BackOff(now time.Time, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).backoffUntil = now.Add(backoffTime)
}

// AddAttempt counts an attempt that this coordinator begins at a target.
func (s *Selector) AddAttempt(target string) { s.addAttempts(target, 1) }

// RemoveAttempt undoes AddAttempt when the attempt has ended.
func (s *Selector) RemoveAttempt(target string) { s.addAttempts(target, -1) }

func (s *Selector) addAttempts(target string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(target).attempts += n
}

// Select returns the least loaded of a few targets drawn with randIntN, among those not tried and preferably not in
// back-off.
func (s *Selector) Select(now time.Time, candidates []Candidate, tried map[string]bool, randIntN func(n int) int) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var available, inBackoff []Candidate
	for _, c := range candidates {
		if tried[c.Target] {
			continue
		}
		if now.Before(s.state(c.Target).backoffUntil) {
			inBackoff = append(inBackoff, c)
			continue
		}
		available = append(available, c)
	}
	if len(available) == 0 {
		available = inBackoff
	}
	if len(available) == 0 {
		return Candidate{}, false
	}
	best := available[randIntN(len(available))]
	for range sampleSize - 1 {
		c := available[randIntN(len(available))]
		if s.score(now, c.Target) < s.score(now, best.Target) {
			best = c
		}
	}
	return best, true
}

// score returns the load of a target relative to its concurrency limit.
func (s *Selector) score(now time.Time, target string) float64 {
	v := s.state(target)
	busy := float64(v.attempts)
	if now.Sub(v.load.ReceivedAt) < maxLoadAge {
		busy = max(busy, float64(v.load.Running+v.load.Queued))
	}
	return (busy + 1) / float64(max(1, v.load.ConcurrencyLimit))
}

// MinWait returns the shortest wait among candidates by current load reports, 0 if one of them has no current report.
func (s *Selector) MinWait(now time.Time, candidates []Candidate) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(-1)
	for _, c := range candidates {
		v := s.state(c.Target)
		if now.Sub(v.load.ReceivedAt) >= maxLoadAge {
			return 0
		}
		if shortest < 0 || v.load.Wait < shortest {
			shortest = v.load.Wait
		}
	}
	return max(0, shortest)
}
