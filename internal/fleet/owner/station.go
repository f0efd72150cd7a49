package owner

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

// station is one owned target: its desk behind a lock, and the jobs that wait at it.
type station struct {
	mu     sync.Mutex
	desk   *Limiter
	epoch  uint64
	closed bool
	grants map[string]chan Decision
}

func newStation(d *Limiter, epoch uint64) *station {
	return &station{desk: d, epoch: epoch, grants: map[string]chan Decision{}}
}

// submit gives the verdict, and for Wait the channel on which the final one comes.
func (s *station) submit(now time.Time, j admission.Job, leased bool) (Decision, <-chan Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return moved(), nil
	}
	switch v := s.desk.Submit(now, j, leased).(type) {
	case Queued:
		grant := make(chan Decision, 1)
		s.grants[j.ID] = grant
		if v.Evicted != nil {
			s.grant(v.Evicted.ID, v.Rejection)
		}
		return v, grant
	default:
		return v, nil
	}
}

func moved() Rejection {
	return Rejection{Reason: outcome.NoTarget, Text: textMoved, RetryAfter: minRetry}
}

const textMoved = "another node owns the target"

func (s *station) grant(id string, v Decision) {
	if grant, ok := s.grants[id]; ok {
		delete(s.grants, id)
		grant <- v
	}
}

// pump hands out what can be started.
func (s *station) pump(now time.Time, leased bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pumpLocked(now, leased)
}

func (s *station) pumpLocked(now time.Time, leased bool) {
	if s.closed {
		return
	}
	start, late, shed := s.desk.Next(now, leased)
	for _, j := range start {
		s.grant(j.ID, Admitted{})
	}
	for _, j := range shed {
		s.grant(j.ID, Rejection{Reason: outcome.NoTarget, Text: "the target has turned cold", RetryAfter: minRetry})
	}
	for _, j := range late {
		s.grant(j.ID, Rejection{Reason: outcome.Overload, Text: "the wait for the target was too long", RetryAfter: max(s.desk.drain(s.desk.queue.Len()), minRetry)})
	}
}

// withdraw takes a waiting job out; false if a final verdict is already on its channel.
func (s *station) withdraw(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.grants[id]; !ok {
		return false
	}
	delete(s.grants, id)
	return s.desk.Withdraw(id)
}

// update runs change on the desk, then hands out what can be started.
func (s *station) update(now time.Time, leased bool, change func(*Limiter)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.desk)
	s.pumpLocked(now, leased)
}

// close refuses every waiting job and gives what the next owner should know.
func (s *station) close(now time.Time) (target.Health, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, j := range s.desk.RemoveAll() {
		s.grant(j.ID, moved())
	}
	return s.desk.Health(), len(s.desk.running) + s.desk.Inherited(now)
}

func (s *station) load(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desk.Load(now)
}
