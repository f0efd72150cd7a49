package simulation

import (
	"reflect"
	"testing"
	"time"
)

const testLength = 30 * time.Second

func run(t *testing.T, name Name, policy Policy) Report {
	t.Helper()
	scenario, ok := ScenarioFor(name, testLength)
	if !ok {
		t.Fatalf("no experiment %q", name)
	}
	return Run(Config{Deployment: BatchingDeployment(), Scenario: scenario, Policy: policy, Seed: 1})
}

func TestProductEarnsMoreThanBaselines(t *testing.T) {
	for _, name := range Names {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			product := run(t, name, Product)
			for _, policy := range []Policy{PerNode, Naive} {
				if baseline := run(t, name, policy); product.Credit <= baseline.Credit {
					t.Errorf("got credit %.3f, want more than %.3f of %s", product.Credit, baseline.Credit, policy)
				}
			}
		})
	}
}

func TestCallsAreFullInBursts(t *testing.T) {
	if got, want := run(t, StageBurst, Product).BackloggedFill, 0.7; got < want {
		t.Errorf("got a fill of %.2f for backlogged calls, want at least %.2f", got, want)
	}
}

func TestLittleWasteWithoutFaults(t *testing.T) {
	for _, name := range []Name{StageBurst, HotKey} {
		r := run(t, name, Product)
		if got, want := r.WastedSeconds/r.StageSeconds, 0.03; got >= want {
			t.Errorf("%s: got %.3f of the stage seconds wasted, want less than %.2f", name, got, want)
		}
	}
}

// TestMoreUrgentKindHasLargerOnTimeShare simulates a burst of the less urgent kind and one of all kinds.
func TestMoreUrgentKindHasLargerOnTimeShare(t *testing.T) {
	shares := map[string]float64{}
	for _, s := range run(t, StageBurst, Product).Kinds {
		shares[s.Kind] = float64(s.OnTime) / float64(s.Offered)
	}
	if shares["plan"]+0.05 < shares["offer"] {
		t.Errorf("got on-time shares %v, want that of plan no smaller than that of offer", shares)
	}
}

func TestSameSeedRepeatsRun(t *testing.T) {
	a, b := run(t, OwnerLost, Product), run(t, OwnerLost, Product)
	if !reflect.DeepEqual(a, b) {
		t.Error("got different reports for one seed, want equal ones")
	}
}
