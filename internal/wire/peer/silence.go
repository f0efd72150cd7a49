package peer

import (
	"context"
	"sync"
	"time"
)

// lookInterval is the time between two looks at how long a peer has been silent.
const lookInterval = HeartbeatTimeout / 5

// silence decides when a peer that sends heartbeats has been silent for too long. Time in which this process did not get to look does
// not count: what the peer has sent meanwhile still has to be read.
type silence struct {
	mu       sync.Mutex
	heardAt  time.Time
	lookedAt time.Time
}

func newSilence(now time.Time) *silence { return &silence{heardAt: now, lookedAt: now} }

// hear records a message of the peer.
func (s *silence) hear(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = now
}

// look is called every lookInterval, and reports whether the peer has been silent for too long.
func (s *silence) look(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := now.Sub(s.lookedAt) - lookInterval; late > lookInterval {
		s.heardAt = s.heardAt.Add(late)
		if s.heardAt.After(now) {
			s.heardAt = now
		}
	}
	s.lookedAt = now
	return now.Sub(s.heardAt) >= HeartbeatTimeout
}

// watch calls onSilent once the peer has been silent for too long, unless ctx ends before.
func (s *silence) watch(ctx context.Context, onSilent func()) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.look(time.Now()) {
			onSilent()
			return
		}
	}
}
