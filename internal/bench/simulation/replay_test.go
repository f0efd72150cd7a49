package simulation

import (
	"reflect"
	"testing"
	"time"
)

const testLength = 30 * time.Second

func run(t *testing.T, name Name, policy Policy) Report {
	t.Helper()
	p, ok := ScenarioFor(name, testLength)
	if !ok {
		t.Fatalf("no experiment %q", name)
	}
	return Run(Config{Deployment: BatchingDeployment(), Pattern: p, Policy: policy, Seed: 1})
}

func TestOneDeskEarnsMoreThanTheBaselines(t *testing.T) {
	for _, name := range Names {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			ours := run(t, name, Product)
			for _, policy := range []Policy{PerNode, Naive} {
				if base := run(t, name, policy); ours.Credit <= base.Credit {
					t.Errorf("got credit %.3f, want more than %.3f of %s", ours.Credit, base.Credit, policy)
				}
			}
		})
	}
}

func TestFillsCallsInBursts(t *testing.T) {
	if got, want := run(t, StageBurst, Product).BackloggedFill, 0.7; got < want {
		t.Errorf("calls are %.2f full while more waits than one takes, want at least %.2f", got, want)
	}
}

func TestWastesLittleOnDaysWithoutFaults(t *testing.T) {
	for _, name := range []Name{StageBurst, HotKey} {
		r := run(t, name, Product)
		if got, want := r.WastedSeconds/r.StageSeconds, 0.03; got >= want {
			t.Errorf("%s: %.3f of the stage seconds are wasted, want less than %.2f", name, got, want)
		}
	}
}

// TestServesTheMoreUrgentKindAtALargerShare replays a burst of the less urgent kind and one of all kinds.
func TestServesTheMoreUrgentKindAtALargerShare(t *testing.T) {
	share := map[string]float64{}
	for _, s := range run(t, StageBurst, Product).Kinds {
		share[s.Kind] = float64(s.OnTime) / float64(s.Offered)
	}
	if share["plan"]+0.05 < share["offer"] {
		t.Errorf("shares in aim are %v, want that of plan no smaller than that of offer", share)
	}
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	a, b := run(t, OwnerLost, Product), run(t, OwnerLost, Product)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of one seed differ")
	}
}
