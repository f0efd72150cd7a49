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

// BenchmarkHops compares a one-stage request through coordinator and owner with a direct call to the target; the
// processor time of the whole process counts, including the caller's and the target's.
func BenchmarkHops(b *testing.B) {
	testbed, err := Start(Config{Deployment: "zoo", Nodes: 3, Seed: 1, WarmTargets: true, EditObjects: func(s release.Set) {
		p := s.Pipelines["portal"]
		p.Stages, p.DeadlineShares = []string{"summary"}, []int{100}
		s.Pipelines["portal"] = p
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer testbed.Stop()
	through := func(i int) error {
		r, _, err := post(testbed.CallerAddresses()[i%3], "portal", callerapi.RunRequest{Team: "families", Input: Input("x")})
		if err == nil && r.Outcome != outcome.KindAnswered {
			err = fmt.Errorf("got %s %s", r.Outcome, r.Text)
		}
		return err
	}
	c := backend.NewClient()
	address := testbed.Target("portal-1").Address()
	direct := func(i int) error {
		a := backend.Attempt{ID: fmt.Sprint(i), Stage: "summary", IdleTimeout: 1e9, Body: []byte(`{"input":{"order":"x"}}`)}
		if _, ok := c.Run(b.Context(), address, a, nil).(backend.Complete); !ok {
			return fmt.Errorf("got no complete response")
		}
		return nil
	}
	b.Run("through", func(b *testing.B) { measureCalls(b, through) })
	b.Run("direct", func(b *testing.B) { measureCalls(b, direct) })
}

const benchCallers = 16

// measureCalls makes concurrent calls and reports the processor time of the whole process per call.
func measureCalls(b *testing.B, call func(i int) error) {
	b.ReportAllocs()
	before := processorTime()
	var workers sync.WaitGroup
	for w := range benchCallers {
		workers.Go(func() {
			for i := w; i < b.N; i += benchCallers {
				if err := call(i); err != nil {
					b.Error(err)
				}
			}
		})
	}
	workers.Wait()
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(b.Elapsed().Seconds()*benchCallers/float64(b.N)*1000, "ms/call")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPlatformCalls counts the platform calls of an idle fleet per node and second: with relays that
// list and watch, and with every node polling the same three lists at every heartbeat.
func BenchmarkPlatformCalls(b *testing.B) {
	const idle = 5 * time.Second
	for _, nodes := range []int{8, 16, 64} {
		b.Run(fmt.Sprintf("relays/nodes=%d", nodes), func(b *testing.B) {
			testbed, err := Start(Config{Deployment: "zoo", Nodes: nodes, Seed: 1})
			if err != nil {
				b.Fatal(err)
			}
			defer testbed.Stop()
			time.Sleep(idle)
			before := testbed.Store.Counts()
			time.Sleep(idle)
			after := testbed.Store.Counts()
			nodeSeconds := float64(nodes) * idle.Seconds()
			b.ReportMetric(float64(callCount(after)-callCount(before))/nodeSeconds, "calls/node/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/nodeSeconds, "writes/node/s")
		})
		b.Run(fmt.Sprintf("polls/nodes=%d", nodes), func(b *testing.B) {
			s := store.New()
			heartbeat := settings.Default().Timing.Heartbeat.Duration()
			ctx, stop := context.WithTimeout(b.Context(), idle)
			defer stop()
			var pollers sync.WaitGroup
			for range nodes {
				pollers.Go(func() {
					for ctx.Err() == nil {
						_, _ = s.List(ctx, "head", "")
						_, _ = s.List(ctx, "member", "")
						_, _ = s.VMs(ctx)
						time.Sleep(heartbeat)
					}
				})
			}
			pollers.Wait()
			b.ReportMetric(float64(callCount(s.Counts()))/(float64(nodes)*idle.Seconds()), "calls/node/s")
		})
	}
}

func callCount(c store.Counts) int64 { return c.Reads + c.Writes + c.Lists + c.Watches + c.VMs }
