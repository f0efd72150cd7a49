package testbed

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

// TestTargetsOfProductKeepTheirLimits covers a pool whose targets name limits in the product's own protocol, under several
// times the load that these allow.
func TestTargetsOfProductKeepTheirLimits(t *testing.T) {
	const perSecond, length = 3, 8 * time.Second
	b := start(t, Config{})
	pool := "ticketing"
	targets := b.Targets(pool)
	for _, e := range targets {
		e.SetFaults(engine.Faults{Limit: perSecond})
	}
	var answered, rejected atomic.Int64
	var calls sync.WaitGroup
	send := func(i int) {
		calls.Go(func() {
			r, _, err := post(b.CallerAddresses()[i%6], "gate", callerapi.RunRequest{Team: "keepers", Input: Input(fmt.Sprint("order-", i))})
			switch {
			case err != nil:
				t.Errorf("got error %v", err)
			case r.Outcome == outcome.KindAnswered:
				answered.Add(1)
			default:
				rejected.Add(1)
			}
		})
	}
	// The first responses name the limits.
	for i := range 2 * len(targets) {
		send(i)
	}
	calls.Wait()
	time.Sleep(time.Second)
	before := b.TargetCounts(pool).Runs
	tick := time.NewTicker(30 * time.Millisecond)
	defer tick.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-tick.C
		send(100 + i)
	}
	runs := int(b.TargetCounts(pool).Runs - before)
	calls.Wait()
	most := int(1.5*float64(len(targets)*perSecond)*length.Seconds()) + 5*len(targets)
	if least := int(0.5 * float64(len(targets)*perSecond) * length.Seconds()); runs > most || runs < least {
		t.Errorf("got %d runs at %d targets in %s, want %d to %d", runs, len(targets), length, least, most)
	}
	t.Logf("runs %d, answered %d, rejected %d", runs, answered.Load(), rejected.Load())
}
