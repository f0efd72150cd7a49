package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// BenchmarkClaim claims and settles keys of one shard concurrently; writes/request is the number of platform writes for
// each request, calls/request that of all calls, deletions among them.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := store.New()
			cfg := newConfig(s, "bench")
			cfg.CommitInterval = 10 * time.Millisecond
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			h, err := Open(ctx, cfg)
			if err != nil {
				b.Fatal(err)
			}
			go h.Run(ctx)
			start := time.Now()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						key := fmt.Sprint(i)
						h.Claim(ctx, newRow(key, key))
						h.Settle(ctx, key, key, Settled, []byte(`{}`), time.Second)
					}
				})
			}
			wg.Wait()
			n := s.Counts()
			b.ReportMetric(float64(n.Reads+n.Writes+n.Lists)/float64(b.N), "calls/request")
			b.ReportMetric(float64(h.WriteCount())/float64(b.N), "writes/request")
			b.ReportMetric(float64(h.WriteCount())/time.Since(start).Seconds(), "writes/s")
		})
	}
}
