package owner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func job(id string, deadline time.Time) admission.Job {
	return admission.Job{ID: id, Team: "keepers", Weight: 1, Priority: 1, Deadline: deadline}
}

// simulatedTarget is the reference for checks of the limiter: it knows its concurrency limit and what it runs.
type simulatedTarget struct {
	bounds    target.Bounds
	successes int
	bootID    int
	running   map[string]bool
}

func (s *simulatedTarget) concurrencyLimit() int {
	return min(s.bounds.WarmLimit, s.bounds.ColdLimit<<min(s.successes/s.bounds.SuccessesPerStep, 12))
}

// TestLimiterNeverOverloadsColdTarget runs random submits, responses, errors and restarts; a target must never
// get more than its concurrency limit, counting abandoned attempts that are not known to have ended.
func TestLimiterNeverOverloadsColdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := target.Bounds{
			ColdLimit:        rapid.IntRange(1, 4).Draw(t, "cold"),
			SuccessesPerStep: rapid.IntRange(1, 6).Draw(t, "warm"),
			WarmLimit:        rapid.IntRange(8, 32).Draw(t, "limit"),
		}
		l := NewLimiter(b, 64, target.New(b))
		simulated := &simulatedTarget{bounds: b, bootID: 1, running: map[string]bool{}}
		now := start
		leased := true
		send := func(id string) {
			if !l.MaySend(leased) {
				l.FreeSlot(id)
				return
			}
			simulated.running[id] = true
			if got, want := len(simulated.running), simulated.concurrencyLimit(); got > want {
				t.Fatalf("got %d running, want at most %d (after %d successes)", got, want, simulated.successes)
			}
		}
		startReady := func() {
			ready, _, _ := l.Next(now, leased)
			for _, j := range ready {
				send(j.ID)
			}
		}
		anyRunning := func() string {
			for id := range simulated.running {
				return id
			}
			return ""
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0, 1, 2:
				id := fmt.Sprint(i)
				if _, ok := l.Submit(now, job(id, now.Add(time.Minute)), leased).(Admitted); ok {
					send(id)
				}
			case 3, 4:
				if id := anyRunning(); id != "" {
					delete(simulated.running, id)
					simulated.successes++
					l.RecordSuccess(now, id, time.Millisecond, time.Millisecond, fmt.Sprint(simulated.bootID))
				}
			case 5:
				// The response is cut off, and the target goes on with the attempt until its deadline.
				if id := anyRunning(); id != "" {
					l.RecordError(now, fmt.Sprint(simulated.bootID))
					l.Abandon(id, now.Add(time.Second))
				}
			case 6:
				// The target restarts: all running attempts are lost, and the owner sees its connections refused.
				for id := range simulated.running {
					l.RecordUnreachable(now, id)
				}
				simulated.running = map[string]bool{}
				simulated.successes = 0
				simulated.bootID++
			}
			leased = rapid.IntRange(0, 9).Draw(t, "lease") > 0
			startReady()
		}
	})
}

func TestLimiterWithoutLeaseSendsNothingToColdTarget(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, SuccessesPerStep: 2, WarmLimit: 8}
	l := NewLimiter(b, 8, target.New(b))
	if got, ok := l.Submit(start, job("a", start.Add(time.Minute)), false).(Rejection); !ok {
		t.Errorf("got %v, want a rejection without a lease", got)
	}
	if _, ok := l.Submit(start, job("b", start.Add(time.Minute)), true).(Admitted); !ok {
		t.Error("got a job not admitted with a lease, want it admitted")
	}
	if l.MaySend(false) {
		t.Error("got a send allowed after the lease expired, want none")
	}
	warm := NewLimiter(b, 8, target.Health{Phase: target.Warm, ConcurrencyLimit: 8})
	if _, ok := warm.Submit(start, job("c", start.Add(time.Minute)), false).(Admitted); !ok {
		t.Error("got a job not admitted to a warm target without a lease, want it admitted: warm targets are served through an outage of the platform")
	}
}

func TestLimiterCountsInheritedAttempts(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, SuccessesPerStep: 2, WarmLimit: 8}
	l := NewLimiter(b, 8, target.New(b))
	l.SetInherited(8, start.Add(time.Second))
	if _, ok := l.Submit(start, job("a", start.Add(time.Minute)), true).(Queued); !ok {
		t.Error("got a job not queued while the former owner's attempts may run, want it queued")
	}
	if ready, _, _ := l.Next(start.Add(999*time.Millisecond), true); len(ready) != 0 {
		t.Errorf("got %d jobs started before the former owner's attempts are over, want 0", len(ready))
	}
	if ready, _, _ := l.Next(start.Add(time.Second), true); len(ready) != 1 {
		t.Errorf("got %d jobs started after that, want 1", len(ready))
	}
}

func TestLimiterRejectsJobThatWouldMissItsDeadline(t *testing.T) {
	b := target.Bounds{ColdLimit: 1, SuccessesPerStep: 1, WarmLimit: 1}
	l := NewLimiter(b, 64, target.Health{Phase: target.Warm, ConcurrencyLimit: 1})
	if _, ok := l.Submit(start, job("first", start.Add(time.Minute)), true).(Admitted); !ok {
		t.Fatal("got a job not admitted to an idle target, want it admitted")
	}
	l.RecordSuccess(start, "first", time.Second, time.Second, "")
	l.Submit(start, job("running", start.Add(time.Minute)), true)
	l.Submit(start, job("waiting", start.Add(time.Minute)), true)
	got, ok := l.Submit(start, job("late", start.Add(2500*time.Millisecond)), true).(Rejection)
	if !ok {
		t.Fatal("got no rejection for a job that would wait two of its two and a half seconds, want one")
	}
	if got.RetryAfter < 500*time.Millisecond || got.RetryAfter > time.Second {
		t.Errorf("got retry after %s, want the missing half second", got.RetryAfter)
	}
	_, late, _ := l.Next(start.Add(time.Minute), true)
	if len(late) != 1 || late[0].ID != "waiting" {
		t.Errorf("got late jobs %v, want only the waiting one", late)
	}
}

func TestColdQueueEvictsJobOfTeamAboveItsShare(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, SuccessesPerStep: 8, WarmLimit: 8}
	l := NewLimiter(b, 64, target.New(b))
	deadline := start.Add(time.Minute)
	for i := range 4 {
		l.Submit(start, job(fmt.Sprint(i), deadline), true)
	}
	small := job("small", deadline)
	small.Team = "members"
	got, ok := l.Submit(start, small, true).(Queued)
	if !ok || got.Evicted == nil || got.Evicted.Team != "keepers" || got.Rejection.Reason != outcome.NoTarget {
		t.Errorf("got %+v, want a job of the team that holds all places evicted and rejected with no target", got)
	}
	if _, ok := l.Submit(start, job("more", deadline), true).(Rejection); !ok {
		t.Error("got a place for the team that holds most, want a rejection")
	}
}

func TestDecideActionTakesOnlyFreeTargets(t *testing.T) {
	tests := []struct {
		name   string
		found  bool
		record Record
		ended  bool
		want   Action
	}{
		{"never owned", false, Record{}, false, Create},
		{"handed over", true, Record{Epoch: 3}, false, Adopt},
		{"another's, lease valid", true, Record{Holder: "b", Generation: 1}, false, NoAction},
		{"another's, lease ended", true, Record{Holder: "b", Generation: 1}, true, Takeover},
		{"own, lost response", true, Record{Holder: "a", Generation: 7}, false, Resume},
		{"own, former generation", true, Record{Holder: "a", Generation: 6}, false, NoAction},
		{"own, former generation ended", true, Record{Holder: "a", Generation: 6}, true, Takeover},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := DecideAction(tt.found, tt.record, "a", 7, tt.ended); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestLimiterKeepsRateOfTarget covers a target that names a limit while it still answers all that it gets: the owner is the one
// place that sends to it, so the limit holds for the fleet.
func TestLimiterKeepsRateOfTarget(t *testing.T) {
	const perSecond, length = 5, 20 * time.Second
	b := target.Bounds{ColdLimit: 32, SuccessesPerStep: 1, WarmLimit: 32}
	l := NewLimiter(b, 64, target.New(b))
	l.SetRate(start, start, perSecond)
	// A response to an attempt that was sent before the limit was named does not lift it.
	l.SetRate(start.Add(time.Millisecond), start.Add(-time.Second), math.Inf(1))
	var sends []time.Time
	queued, rejected := 0, 0
	for at := start; at.Before(start.Add(length)); at = at.Add(10 * time.Millisecond) {
		id := at.String()
		switch l.Submit(at, job(id, at.Add(time.Second)), true).(type) {
		case Admitted:
			sends = append(sends, at)
			l.FreeSlot(id)
		case Queued:
			queued++
		case Rejection:
			rejected++
		}
		ready, _, _ := l.Next(at, true)
		for _, j := range ready {
			sends = append(sends, at)
			l.FreeSlot(j.ID)
		}
	}
	for i, at := range sends {
		n := 0
		for _, earlier := range sends[:i+1] {
			if at.Sub(earlier) < 4*time.Second {
				n++
			}
		}
		if n > perSecond*4+1 {
			t.Fatalf("got %d sends in 4 s until %s, want at most %d", n, at.Sub(start), perSecond*4+1)
		}
	}
	if want := int(0.8 * perSecond * length.Seconds()); len(sends) < want {
		t.Errorf("got %d sends, want at least %d", len(sends), want)
	}
	if rejected < 10*len(sends) || queued == 0 {
		t.Errorf("got %d rejected and %d queued, want what finds no place in time rejected", rejected, queued)
	}
	end := start.Add(length)
	l.SetRate(end, end, math.Inf(1))
	if _, ok := l.Submit(end, job("last", end.Add(time.Second)), true).(Admitted); !ok && l.queue.Len() == 0 {
		t.Error("got a job that is neither admitted nor queued after the limit ended")
	}
}
