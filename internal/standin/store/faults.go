package store

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	errDown = merry.Sentinel("platform is down")
	errLost = merry.Sentinel("answer was lost")
)

// Faults is what is wrong with the store at the moment.
type Faults struct {
	// Down refuses every call and ends every watch.
	Down bool `json:"down"`
	// Slow delays each call.
	Slow time.Duration `json:"slow"`
	// Lose drops the answers of that many writes that take effect, of LoseKind if it is set.
	Lose     int    `json:"lose"`
	LoseKind string `json:"losekind"`
	// Gap answers the next watch as too old.
	Gap bool `json:"gap"`
	// Cut ends every open watch once.
	Cut bool `json:"cut"`
}

// SetFaults changes what is wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Cut {
		s.cut++
	}
	for w := range s.waiters {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (s *Store) enter(ctx context.Context, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Slow):
		}
	}
	if f.Down {
		return errDown
	}
	return nil
}

func (s *Store) loseAnswer(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Lose <= 0 || (s.faults.LoseKind != "" && s.faults.LoseKind != kind) {
		return false
	}
	s.faults.Lose--
	return true
}
