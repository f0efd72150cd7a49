package bed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
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

// BenchmarkPlatformCalls counts the platform calls of an idle fleet for each node and second: with relays that
// list and watch, and with a poll of the same three lists by every node at every heartbeat.
func BenchmarkPlatformCalls(b *testing.B) {
	const idle = 5 * time.Second
	for _, nodes := range []int{8, 16, 64} {
		b.Run(fmt.Sprintf("relays/nodes=%d", nodes), func(b *testing.B) {
			bed, err := Start(Config{Deployment: "zoo", Nodes: nodes, Seed: 1})
			if err != nil {
				b.Fatal(err)
			}
			defer bed.Stop()
			time.Sleep(idle)
			before := bed.Store.Counts()
			time.Sleep(idle)
			after := bed.Store.Counts()
			each := float64(nodes) * idle.Seconds()
			b.ReportMetric(float64(calls(after)-calls(before))/each, "calls/node/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/each, "writes/node/s")
		})
		b.Run(fmt.Sprintf("polls/nodes=%d", nodes), func(b *testing.B) {
			s := store.New()
			beat := settings.Default().Timing.Beat.Duration()
			ctx, stop := context.WithTimeout(b.Context(), idle)
			defer stop()
			var pollers sync.WaitGroup
			for range nodes {
				pollers.Go(func() {
					for ctx.Err() == nil {
						_, _ = s.List(ctx, "head", "")
						_, _ = s.List(ctx, "member", "")
						_, _ = s.VMs(ctx)
						time.Sleep(beat)
					}
				})
			}
			pollers.Wait()
			b.ReportMetric(float64(calls(s.Counts()))/(float64(nodes)*idle.Seconds()), "calls/node/s")
		})
	}
}

func calls(c store.Counts) int64 { return c.Reads + c.Writes + c.Lists + c.Watches + c.VMs }
