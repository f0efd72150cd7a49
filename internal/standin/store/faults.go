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
	// AddedLatency delays each call.
	AddedLatency time.Duration `json:"slow"`
	// LostAnswers drops the answers of that many writes that take effect, of LoseKind if it is set.
	LostAnswers int    `json:"lose"`
	LostKind    string `json:"losekind"`
	// ExpireWatch answers the next watch as too old.
	ExpireWatch bool `json:"gap"`
	// CloseWatches ends every open watch once.
	CloseWatches bool `json:"cut"`
}

// SetFaults changes what is wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.CloseWatches {
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

func (s *Store) loseAnswer(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostAnswers <= 0 || (s.faults.LostKind != "" && s.faults.LostKind != kind) {
		return false
	}
	s.faults.LostAnswers--
	return true
}
