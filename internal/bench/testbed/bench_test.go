package testbed

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

// BenchmarkHops compares a one-stage request through entry and owner with a call to the target itself; the
// whole process is counted, the caller and the target included.
func BenchmarkHops(b *testing.B) {
	bed, err := Start(Config{Deployment: "zoo", Nodes: 3, Seed: 1, WarmTargets: true, EditObjects: func(s release.Set) {
		p := s.Pipelines["portal"]
		p.Stages, p.DeadlineShares = []string{"summary"}, []int{100}
		s.Pipelines["portal"] = p
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer bed.Stop()
	through := func(i int) error {
		r, _, err := post(bed.CallerAddresses()[i%3], "portal", callerapi.RunRequest{Team: "families", Input: Input("x")})
		if err == nil && r.Outcome != outcome.KindAnswered {
			err = fmt.Errorf("got %s %s", r.Outcome, r.Text)
		}
		return err
	}
	c := backend.NewClient()
	address := bed.Target("portal-1").Address()
	direct := func(i int) error {
		a := backend.Attempt{ID: fmt.Sprint(i), Stage: "summary", IdleTimeout: 1e9, Body: []byte(`{"input":{"order":"x"}}`)}
		if _, ok := c.Run(b.Context(), address, a, nil).(backend.Complete); !ok {
			return fmt.Errorf("got no whole answer")
		}
		return nil
	}
	b.Run("through", func(b *testing.B) { measureCalls(b, through) })
	b.Run("direct", func(b *testing.B) { measureCalls(b, direct) })
}

const benchCallers = 16

// measureCalls makes calls side by side and reports the processor time of the whole process for each.
func measureCalls(b *testing.B, call func(i int) error) {
	b.ReportAllocs()
	before := processorTime()
	var work sync.WaitGroup
	for w := range benchCallers {
		work.Go(func() {
			for i := w; i < b.N; i += benchCallers {
				if err := call(i); err != nil {
					b.Error(err)
				}
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(b.Elapsed().Seconds()*benchCallers/float64(b.N)*1000, "ms/call")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
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
			beat := settings.Default().Timing.Heartbeat.Duration()
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
