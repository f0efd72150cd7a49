package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

var deskTargets = []notice.Target{{ID: "i-1"}, {ID: "i-2"}}

// steadyRate is the rate of a desk that grants one send to each target in a second.
func steadyRate(notice.Target) float64 { return 1 }

// decide runs a desk for a time and returns the decisions and when they were made.
func decide(d *Desk, from time.Time, length time.Duration) (decisions map[string]Decision, at map[string]time.Duration) {
	decisions, at = map[string]Decision{}, map[string]time.Duration{}
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		settled, _ := d.Settle(now, steadyRate)
		for _, s := range settled {
			decisions[s.ID], at[s.ID] = s.Decision, now.Sub(from)
		}
	}
	return decisions, at
}

// TestDeskGrantsByPrecedence covers more claims than one target takes in their time: the most urgent go first, then those that
// work has been spent on, then those worth most; what finds no place is rejected at once.
func TestDeskGrantsByPrecedence(t *testing.T) {
	d := NewDesk(0)
	claim := func(id string, priority int, isInvested bool, worth float64) Claim {
		return Claim{ID: id, Targets: deskTargets[:1], Priority: priority, IsInvested: isInvested, Worth: worth, StartBy: modelStart.Add(3 * time.Second), ReturnBy: modelStart.Add(time.Minute)}
	}
	for _, c := range []Claim{claim("small", 5, false, 0.5), claim("large", 5, false, 3), claim("begun", 5, true, 1), claim("urgent", 0, false, 1), claim("other", 5, false, 0.5)} {
		d.Add(c)
	}
	decisions, at := decide(d, modelStart, 5*time.Second)
	order := []string{"urgent", "begun", "large"}
	for i, id := range order {
		if _, ok := decisions[id].(Granted); !ok {
			t.Errorf("got %#v for %s, want a grant", decisions[id], id)
		}
		if i > 0 && at[id] <= at[order[i-1]] {
			t.Errorf("got the grant of %s after %s, want it after that of %s, %s", id, at[id], order[i-1], at[order[i-1]])
		}
	}
	var back []time.Duration
	for _, id := range []string{"small", "other"} {
		r, ok := decisions[id].(Rejected)
		if !ok || at[id] > 0 {
			t.Errorf("got %#v for %s after %s, want a rejection at once", decisions[id], id, at[id])
		}
		back = append(back, r.RetryAfter)
	}
	if apart := back[0] - back[1]; apart.Abs() < time.Second {
		t.Errorf("got times to come back %v, want them apart by the time of a grant", back)
	}
}

func TestDeskUsesAnyTargetOfClaim(t *testing.T) {
	d := NewDesk(2)
	for _, id := range []string{"a", "b"} {
		d.Add(Claim{ID: id, Targets: deskTargets, Worth: 1, StartBy: modelStart.Add(1100 * time.Millisecond)})
	}
	decisions, _ := decide(d, modelStart, 2*time.Second)
	a, okA := decisions["a"].(Granted)
	b, okB := decisions["b"].(Granted)
	if !okA || !okB || a.Target == b.Target {
		t.Errorf("got %#v and %#v, want a grant at each target", decisions["a"], decisions["b"])
	}
}

// TestDeskSavesNoBurst covers an idle minute before many claims come at once.
func TestDeskSavesNoBurst(t *testing.T) {
	d := NewDesk(0)
	d.Add(Claim{ID: "first", Targets: deskTargets[:1], Worth: 1, StartBy: modelStart.Add(2 * time.Second)})
	decide(d, modelStart, 2*time.Second)
	later := modelStart.Add(40 * time.Second)
	for i := range 10 {
		d.Add(Claim{ID: string(rune('a' + i)), Targets: deskTargets[:1], Worth: 1, StartBy: later})
	}
	settled, _ := d.Settle(later, steadyRate)
	granted := 0
	for _, s := range settled {
		if _, ok := s.Decision.(Granted); ok {
			granted++
		}
	}
	if granted != 1 || len(settled) != 10 {
		t.Errorf("got %d of %d claims granted after an idle minute, want 1 of 10", granted, len(settled))
	}
}

func TestDeskLiftsClaimsWhenLimitEnds(t *testing.T) {
	d := NewDesk(0)
	d.Add(Claim{ID: "a", Targets: deskTargets[:1], Worth: 1, StartBy: modelStart.Add(10 * time.Second)})
	settled, next := d.Settle(modelStart, func(notice.Target) float64 { return 0.2 })
	if len(settled) > 0 || next.IsZero() {
		t.Fatalf("got %v, next %s, want a claim that waits", settled, next)
	}
	settled, _ = d.Settle(modelStart.Add(time.Second), func(notice.Target) float64 { return math.Inf(1) })
	if len(settled) != 1 || settled[0].Decision != (Lifted{}) {
		t.Errorf("got %v, want the claim lifted", settled)
	}
}
