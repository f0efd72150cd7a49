package bed

import (
	"fmt"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/caller"
)

// BenchmarkHops compares a one-stage request through entry and owner with a call to the target itself; the
// whole process is counted, the caller and the target included.
func BenchmarkHops(b *testing.B) {
	bed, err := Start(Config{Deployment: "zoo", Nodes: 3, Seed: 1, Warm: true, Change: func(s release.Set) {
		p := s.Pipelines["portal"]
		p.Stages, p.Shares = []string{"summary"}, []int{100}
		s.Pipelines["portal"] = p
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer bed.Stop()
	b.Run("through", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r, _, err := post(bed.Callers()[i%3], "portal", caller.Call{Team: "families", Input: Input("x")})
			if err != nil || r.Outcome != outcome.NameAnswered {
				b.Fatal(r, err)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		c := backend.NewClient()
		address := bed.Engine("portal-1").Address()
		for i := 0; b.Loop(); i++ {
			a := backend.Attempt{ID: fmt.Sprint(i), Stage: "summary", Silence: 1e9, Body: []byte(`{"input":{"order":"x"}}`)}
			if _, ok := c.Run(b.Context(), address, a, nil).(backend.Whole); !ok {
				b.Fatal("got no whole answer")
			}
		}
	})
}
