package node

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
)

// TestLeaseWithWardenIsOverBeforeItIsEnded lets a holder renew at the platform or by its warden's word while
// calls fail, answers are lost, the warden starts anew and its write that ends the lease is slow. The holder
// must never act once that write has taken effect.
func TestLeaseWithWardenIsOverBeforeItIsEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := lease.Terms{Duration: 6 * time.Second, DriftPercent: 2}
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		version, ended := uint64(1), false
		holder := lease.Lease{Generation: 1}.Renewed(now, version, terms)
		warden := &wards{}
		warden.init(now)
		// pending is the version on which the warden's write is conditional, 0 for no write under way; the
		// write takes effect within a lease's wait or not at all.
		pending, latest := uint64(0), time.Time{}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 2500).Draw(t, "step")) * time.Millisecond)
			if pending != 0 && !now.Before(latest) {
				pending = 0
			}
			if ended && holder.Valid(now) {
				t.Fatal("got a valid lease after it was ended")
			}
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0:
				if ended {
					holder = holder.AsRevoked()
					continue
				}
				version++
				if rapid.Bool().Draw(t, "answered") {
					holder = holder.Renewed(now, version, terms)
				}
			case 1, 2:
				if !warden.isSure("x", 1) && rapid.Bool().Draw(t, "platform") {
					r := lease.Record{Generation: 1, State: lease.Held, Witnesses: []string{"w"}}
					if ended {
						r.State = lease.Ended
					}
					warden.saw(now, "x", "w", r)
				}
				granted := warden.vouch(now, "x", 1)
				if granted && !holder.Revoked && rapid.Bool().Draw(t, "answered") {
					holder = holder.Renewed(now, holder.Version, terms)
				}
			case 3, 4:
				if pending == 0 && !ended && warden.over(now, "x", 1, version, terms) {
					pending, latest = version, now.Add(terms.TakeoverWait())
				}
			case 5:
				if pending != 0 && pending == version {
					ended = true
				}
				pending = 0
			case 6:
				if rapid.Bool().Draw(t, "restart") {
					// A write of the former process may still be under way.
					warden = &wards{}
					warden.init(now.Add(terms.TakeoverWait()))
					continue
				}
				warden.forget("x")
			}
		}
	})
}

func TestWardenKeepsToTheLatestGeneration(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &wards{}
	w.init(now)
	w.saw(now, "x", "w", lease.Record{Generation: 1, State: lease.Held, Witnesses: []string{"w"}})
	if got := w.vouch(now, "x", 1); !got {
		t.Error("got no word for the only generation")
	}
	if got := w.vouch(now, "x", 2); got {
		t.Error("got a word for a successor that the platform has not shown")
	}
	if got := w.vouch(now, "x", 1); got {
		t.Error("got a word for a generation that has a successor")
	}
}
