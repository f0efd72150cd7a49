package gateway

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
)

// TestReviewWhileRequestsGoOn covers requests that take their end by a planned stop while others are still being ended; the race
// detector judges it.
func TestReviewWhileRequestsGoOn(t *testing.T) {
	const requests = 50
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	g := New(Config{Log: log, Now: func() time.Time { return now }})
	var ended sync.WaitGroup
	for range requests {
		rs := &requestState{run: &runningRequest{received: now, stage: shutdown.Sent}}
		rs.run.end = func(error) {
			ended.Go(func() { g.setStage(rs, shutdown.Waiting) })
		}
		g.running[rs.run] = true
	}
	g.Review(now, shutdown.NewPlan(now.Add(-time.Minute), time.Second, 0))
	ended.Wait()
	for x := range g.running {
		if !x.isEnded || x.stage != shutdown.Waiting {
			t.Errorf("got a request that is %s, ended %v, want it ended", x.stage, x.isEnded)
		}
	}
}
