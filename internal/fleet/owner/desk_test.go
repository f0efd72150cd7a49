package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func job(id string, by time.Time) admission.Job {
	return admission.Job{ID: id, Team: "keepers", Weight: 1, Priority: 1, Deadline: by}
}

// coldTarget is the truth that a desk is held against: it knows what it bears and what it has.
type coldTarget struct {
	bounds  target.Bounds
	served  int
	boot    int
	running map[string]bool
}

func (c *coldTarget) bears() int {
	return min(c.bounds.WarmLimit, c.bounds.ColdLimit<<min(c.served/c.bounds.AnswersPerStep, 12))
}

// TestDeskNeverOverloadsColdTarget runs random submits, answers, errors and restarts; a target must never
// get more than it bears, counting what was abandoned and is not known to have ended.
func TestDeskNeverOverloadsColdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := target.Bounds{
			ColdLimit:      rapid.IntRange(1, 4).Draw(t, "cold"),
			AnswersPerStep: rapid.IntRange(1, 6).Draw(t, "warm"),
			WarmLimit:      rapid.IntRange(8, 32).Draw(t, "limit"),
		}
		d := NewLimiter(b, 64, target.New(b))
		truth := &coldTarget{bounds: b, boot: 1, running: map[string]bool{}}
		now := start
		leased := true
		send := func(id string) {
			if !d.MaySend(leased) {
				d.FreeSlot(id)
				return
			}
			truth.running[id] = true
			if got, want := len(truth.running), truth.bears(); got > want {
				t.Fatalf("got %d running, want at most %d (served %d)", got, want, truth.served)
			}
		}
		pump := func() {
			ready, _, _ := d.Next(now, leased)
			for _, j := range ready {
				send(j.ID)
			}
		}
		pick := func() string {
			for id := range truth.running {
				return id
			}
			return ""
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0, 1, 2:
				id := fmt.Sprint(i)
				if _, ok := d.Submit(now, job(id, now.Add(time.Minute)), leased).(Admitted); ok {
					send(id)
				}
			case 3, 4:
				if id := pick(); id != "" {
					delete(truth.running, id)
					truth.served++
					d.RecordSuccess(now, id, time.Millisecond, time.Millisecond, fmt.Sprint(truth.boot))
				}
			case 5:
				// The answer breaks, and the target goes on with the attempt until its deadline.
				if id := pick(); id != "" {
					d.RecordError(now, fmt.Sprint(truth.boot))
					d.Abandon(id, now.Add(time.Second))
				}
			case 6:
				// The target starts anew: all that ran is gone, and the owner sees its connections refused.
				for id := range truth.running {
					d.RecordUnreachable(now, id)
				}
				truth.running = map[string]bool{}
				truth.served = 0
				truth.boot++
			}
			leased = rapid.IntRange(0, 9).Draw(t, "lease") > 0
			pump()
		}
	})
}

func TestDeskWithoutLeaseSendsNothingToColdTarget(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, AnswersPerStep: 2, WarmLimit: 8}
	d := NewLimiter(b, 8, target.New(b))
	if got, ok := d.Submit(start, job("a", start.Add(time.Minute)), false).(Rejection); !ok {
		t.Errorf("got %v, want a refusal without a lease", got)
	}
	if _, ok := d.Submit(start, job("b", start.Add(time.Minute)), true).(Admitted); !ok {
		t.Error("got no start with a lease")
	}
	if d.MaySend(false) {
		t.Error("got a send allowed after the lease ran out, want none")
	}
	warm := NewLimiter(b, 8, target.Health{Phase: target.Warm, ConcurrencyLimit: 8})
	if _, ok := warm.Submit(start, job("c", start.Add(time.Minute)), false).(Admitted); !ok {
		t.Error("got no start on a warm target without a lease, want one: warm work outlives the platform")
	}
}

func TestDeskCountsWhatFormerOwnerLeft(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, AnswersPerStep: 2, WarmLimit: 8}
	d := NewLimiter(b, 8, target.New(b))
	d.SetInherited(8, start.Add(time.Second))
	if _, ok := d.Submit(start, job("a", start.Add(time.Minute)), true).(Queued); !ok {
		t.Error("got no wait while the former owner's attempts may run")
	}
	if ready, _, _ := d.Next(start.Add(999*time.Millisecond), true); len(ready) != 0 {
		t.Errorf("got %d starts before the former owner's attempts are over, want 0", len(ready))
	}
	if ready, _, _ := d.Next(start.Add(time.Second), true); len(ready) != 1 {
		t.Errorf("got %d starts after, want 1", len(ready))
	}
}

func TestDeskRefusesWhatCannotEndInTime(t *testing.T) {
	b := target.Bounds{ColdLimit: 1, AnswersPerStep: 1, WarmLimit: 1}
	d := NewLimiter(b, 64, target.Health{Phase: target.Warm, ConcurrencyLimit: 1})
	if _, ok := d.Submit(start, job("first", start.Add(time.Minute)), true).(Admitted); !ok {
		t.Fatal("got no start on a free target")
	}
	d.RecordSuccess(start, "first", time.Second, time.Second, "")
	d.Submit(start, job("running", start.Add(time.Minute)), true)
	d.Submit(start, job("waiting", start.Add(time.Minute)), true)
	got, ok := d.Submit(start, job("late", start.Add(2500*time.Millisecond)), true).(Rejection)
	if !ok {
		t.Fatal("got no refusal for a job that would wait two seconds of its two and a half")
	}
	if got.RetryAfter < 500*time.Millisecond || got.RetryAfter > time.Second {
		t.Errorf("got a retry after %s, want the half second that is missing", got.RetryAfter)
	}
	_, late, _ := d.Next(start.Add(time.Minute), true)
	if len(late) != 1 || late[0].ID != "waiting" {
		t.Errorf("got late jobs %v, want the waiting one given up", late)
	}
}

func TestColdQueueMakesRoomForSmallTeam(t *testing.T) {
	b := target.Bounds{ColdLimit: 2, AnswersPerStep: 8, WarmLimit: 8}
	d := NewLimiter(b, 64, target.New(b))
	late := start.Add(time.Minute)
	for i := range 4 {
		d.Submit(start, job(fmt.Sprint(i), late), true)
	}
	small := job("small", late)
	small.Team = "members"
	got, ok := d.Submit(start, small, true).(Queued)
	if !ok || got.Evicted == nil || got.Evicted.Team != "keepers" || got.Rejection.Reason != outcome.NoTarget {
		t.Errorf("got %+v, want a place taken from the team that holds all, and that one sent elsewhere", got)
	}
	if _, ok := d.Submit(start, job("more", late), true).(Rejection); !ok {
		t.Error("got a place for the team that holds most, want it sent elsewhere")
	}
}

func TestDecideTakesOnlyWhatIsFree(t *testing.T) {
	tests := []struct {
		name   string
		found  bool
		record Record
		ended  bool
		want   Action
	}{
		{"never owned", false, Record{}, false, Create},
		{"handed over", true, Record{Epoch: 3}, false, Adopt},
		{"another's, alive", true, Record{Holder: "b", Generation: 1}, false, NoAction},
		{"another's, lease ended", true, Record{Holder: "b", Generation: 1}, true, Takeover},
		{"own, lost answer", true, Record{Holder: "a", Generation: 7}, false, Resume},
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
