package store

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	errDown         = merry.Sentinel("platform is down")
	errResponseLost = merry.Sentinel("response was lost")
)

// Faults are the faults injected into the store.
type Faults struct {
	// Down makes every call fail and ends every watch.
	Down bool `json:"down"`
	// AddedLatency delays each call.
	AddedLatency time.Duration `json:"slow"`
	// LostResponses is how many writes take effect but get no response; LostKind, if set, limits them to one kind.
	LostResponses int    `json:"lose"`
	LostKind      string `json:"losekind"`
	// ExpireWatch makes one watch fail as if its version were too old.
	ExpireWatch bool `json:"gap"`
	// CloseWatches ends every open watch once.
	CloseWatches bool `json:"cut"`
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.CloseWatches {
		s.watchGeneration++
	}
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (s *Store) beginCall(ctx context.Context, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	f := s.faults
	s.mu.Unlock()
	if f.AddedLatency > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.AddedLatency):
		}
	}
	if f.Down {
		return errDown
	}
	return nil
}

func (s *Store) consumeLostResponse(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses <= 0 || (s.faults.LostKind != "" && s.faults.LostKind != kind) {
		return false
	}
	s.faults.LostResponses--
	return true
}
