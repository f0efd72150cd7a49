package simulation

import (
	"testing"
	"time"
)

// heavyDeployment returns a deployment with 25 nodes whose stages are busy for about 0.75 of the time, and whose targets have the given part of their
// usual room for results.
func heavyDeployment(rate, room float64) Deployment {
	d := BatchingDeployment()
	d.Nodes = 25
	for i := range d.Kinds {
		d.Kinds[i].Rate *= rate
	}
	for i := range d.Services {
		d.Services[i].Batching.ResultSpace = int64(room * float64(d.Services[i].Batching.ResultSpace))
	}
	return d
}

// heavyScenario has bursts of one kind at a time of 2.1 to 2.6 times for 5 to 7 s.
func heavyScenario(ownerLoss time.Duration) Scenario {
	return Scenario{Duration: 45 * time.Second, OwnerLossAt: ownerLoss, Bursts: []Burst{
		{"offer", 5 * time.Second, 7 * time.Second, 2.6}, {"plan", 18 * time.Second, 6 * time.Second, 2.4}, {"chat", 28 * time.Second, 5 * time.Second, 2.6},
		{"offer", 36 * time.Second, 5 * time.Second, 2.1},
	}}
}

// TestFewInputsAreGoneInBursts guards against calls whose pieces find their inputs gone: where room is short, results expire while their
// readers wait.
func TestFewInputsAreGoneInBursts(t *testing.T) {
	r := Run(Config{Deployment: heavyDeployment(1.1, 0.5), Scenario: heavyScenario(0), Policy: Product, Seed: 1})
	if got, want := r.InputGone, 20; got > want {
		t.Errorf("got %d pieces without input, want at most %d", got, want)
	}
}

// TestMoreRequestsMeetTheirObjectiveWithReserve replays bursts of one kind: with time reserved for the waits of later stages, the first stage takes
// requests that meet their latency objective at the last one. It guards against stage work for requests that are late later.
func TestMoreRequestsMeetTheirObjectiveWithReserve(t *testing.T) {
	for _, room := range []float64{1, 0.5} {
		cfg := Config{Deployment: heavyDeployment(1.1, room), Scenario: heavyScenario(0), Policy: Product, Seed: 1}
		after := Run(cfg)
		cfg.WithoutReserve = true
		before := Run(cfg)
		t.Logf("room %.1f: credit %.3f before, %.3f after", room, before.Credit, after.Credit)
		if got, want := after.Credit, before.Credit+0.02; got < want {
			t.Errorf("room %.1f: got credit %.3f, want at least %.3f", room, got, want)
		}
		for i, k := range after.Kinds {
			if got, want := k.LargestOnTime, before.Kinds[i].LargestOnTime-0.05; got < want {
				t.Errorf("room %.1f: got an on-time share of %.3f for the largest tenth of %s, want at least %.3f", room, got, k.Kind, want)
			}
		}
		// Priority 0 is that of the kind plan.
		if got, want := onTimeShare(after, "plan"), onTimeShare(before, "plan")-0.01; got < want {
			t.Errorf("room %.1f: got an on-time share of %.3f for the most urgent kind, want at least %.3f", room, got, want)
		}
	}
}

func onTimeShare(r Report, kind string) float64 {
	for _, k := range r.Kinds {
		if k.Kind == kind {
			return float64(k.OnTime) / float64(k.Offered)
		}
	}
	return 0
}
