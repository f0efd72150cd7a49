package node

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// TestLeaseExpiresBeforeWitnessEndsIt lets a holder renew at the platform or by its witness's vouching while calls
// fail, responses are lost, the witness restarts and its write that ends the lease is slow. The holder must never
// have a valid lease after that write has taken effect.
func TestLeaseExpiresBeforeWitnessEndsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := lease.Terms{Duration: 6 * time.Second, DriftPercent: 2}
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		version, ended := object.Version(1), false
		holder := lease.Lease{Generation: 1}.Renewed(now, version, terms)
		witness := &witnessState{}
		witness.init(now)
		// pending is the version on which the witness's write is conditional, 0 if no write is in flight; the
		// write takes effect within the takeover wait or not at all.
		pending, pendingUntil := object.Version(0), time.Time{}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 2500).Draw(t, "step")) * time.Millisecond)
			if pending != 0 && !now.Before(pendingUntil) {
				pending = 0
			}
			if ended && holder.Valid(now) {
				t.Fatal("got a valid lease after it was ended, want it expired")
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
				if !witness.isConfirmed("x", 1) && rapid.Bool().Draw(t, "platform") {
					r := lease.Record{Generation: 1, State: lease.Held, Witnesses: []string{"w"}}
					if ended {
						r.State = lease.Ended
					}
					witness.confirm(now, "x", "w", r)
				}
				granted := witness.vouch(now, "x", 1)
				if granted && !holder.Revoked && rapid.Bool().Draw(t, "answered") {
					holder = holder.Renewed(now, holder.Version, terms)
				}
			case 3, 4:
				if pending == 0 && !ended && witness.beginEnding(now, "x", 1, version, terms) {
					pending, pendingUntil = version, now.Add(terms.TakeoverWait())
				}
			case 5:
				if pending != 0 && pending == version {
					ended = true
				}
				pending = 0
			case 6:
				if rapid.Bool().Draw(t, "restart") {
					// A write of the former process may still be in flight.
					witness = &witnessState{}
					witness.init(now.Add(terms.TakeoverWait()))
					continue
				}
				witness.clearObservation("x")
			}
		}
	})
}

func TestWitnessVouchesOnlyForLatestGeneration(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &witnessState{}
	w.init(now)
	w.confirm(now, "x", "w", lease.Record{Generation: 1, State: lease.Held, Witnesses: []string{"w"}})
	if got := w.vouch(now, "x", 1); !got {
		t.Error("got no vouch for the only generation, want one")
	}
	if got := w.vouch(now, "x", 2); got {
		t.Error("got a vouch for a successor that the platform has not confirmed, want none")
	}
	if got := w.vouch(now, "x", 1); got {
		t.Error("got a vouch for a generation that has a successor, want none")
	}
}
