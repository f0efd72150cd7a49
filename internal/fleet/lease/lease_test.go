package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// TestLeaseExpiresBeforeTakeover lets a holder renew, pause and lose responses at random while a peer whose
// clock runs at another rate observes; the holder must never act at or after the moment of the takeover.
func TestLeaseExpiresBeforeTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Duration: 6 * time.Second, DriftPercent: 2}
		// A peer whose clock runs fast reaches each time before the holder does.
		rate := 1 + rapid.Float64Range(-0.015, 0.015).Draw(t, "rate")
		base := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		holder := Lease{Generation: 1}
		version := object.Version(1)
		holder = holder.Renewed(base, version, terms)
		observation := Observation{}
		isTakenOver := false
		for at := time.Duration(0); at < time.Minute; {
			at += time.Duration(rapid.IntRange(50, 1500).Draw(t, "step")) * time.Millisecond
			now := base.Add(at)
			peer := base.Add(time.Duration(float64(at) * rate))
			if isTakenOver && holder.Valid(now) {
				t.Fatalf("got a valid lease at %s after the takeover, want it expired", at)
			}
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				// A renewal takes effect; its response may be lost.
				if isTakenOver {
					holder = holder.AsRevoked()
					continue
				}
				version++
				if rapid.Bool().Draw(t, "answered") {
					holder = holder.Renewed(now, version, terms)
				}
			default:
				observation = observation.Observed(version, peer)
				if observation.Expired(peer, terms) {
					isTakenOver = true
				}
			}
		}
	})
}

func TestLeaseCountsFromBeforeCall(t *testing.T) {
	sent := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	terms := Terms{Duration: 6 * time.Second, DriftPercent: 10}
	l := Lease{}.Renewed(sent, 1, terms)
	if got := l.Valid(sent.Add(6 * time.Second)); got {
		t.Errorf("got valid %t at its end, want false", got)
	}
	if got := l.Valid(sent.Add(6*time.Second - 1)); !got {
		t.Errorf("got valid %t before its end, want true", got)
	}
	if got, want := terms.TakeoverWait(), 6600*time.Millisecond; got != want {
		t.Errorf("got a wait of %s, want %s", got, want)
	}
}
