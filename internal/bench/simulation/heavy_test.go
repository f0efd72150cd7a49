package simulation

import (
	"os"
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
	if os.Getenv("HEAVY_OBJECTIVES") != "" {
		for i, objective := range []time.Duration{4 * time.Second, 1400 * ms, 1100 * ms} {
			d.Kinds[i].Route.LatencyObjective = objective
		}
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

// TestPrintHeavy prints the results of heavy runs for comparisons by hand.
func TestPrintHeavy(t *testing.T) {
	if os.Getenv("HEAVY") == "" {
		t.Skip("set HEAVY to print the results")
	}
	losses := []time.Duration{0, 9 * time.Second}
	switch os.Getenv("HEAVY") {
	case "loss":
		losses = losses[1:]
	case "none":
		losses = losses[:1]
	}
	for _, rate := range []float64{0.8, 1.1} {
		for _, room := range []float64{1, 0.5} {
			for _, loss := range losses {
				var credit, wasted, used, noRoom, gone, n float64
				var p95 time.Duration
				kinds := map[string][4]int{}
				largest := map[string]int{}
				for seed := uint64(1); seed <= 5; seed++ {
					r := Run(Config{Deployment: heavyDeployment(rate, room), Scenario: heavyScenario(loss), Policy: Product, Seed: seed})
					credit, wasted, used, noRoom, gone, n = credit+r.Credit, wasted+r.WastedSeconds, used+r.StageSeconds, noRoom+float64(r.NoRoom), gone+float64(r.InputGone), n+1
					p95 += r.RefusedP95
					for _, k := range r.Kinds {
						x := kinds[k.Kind]
						largest[k.Kind] += int(200 * k.LargestOnTime)
						kinds[k.Kind] = [4]int{x[0] + k.Offered, x[1] + k.OnTime, x[2] + k.Late, x[3] + k.Failed}
					}
				}
				t.Logf("rate %.2f room %.2f loss %5s: credit %.4f wasted %5.2f s of %.0f busy %.2f noroom %.0f gone %.0f refused p95 %s kinds %v largest tenth on time, in 1000 %v", rate, room, loss, credit/n, wasted/n, used/n, used/n/15/45, noRoom/n, gone/n, p95/5, kinds, largest)
			}
		}
	}
}
