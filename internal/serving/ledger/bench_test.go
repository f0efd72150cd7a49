package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// BenchmarkClaim runs claims and settles side by side on one shard; writes is platform writes for each request.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := store.New()
			cfg := config(s, "bench")
			cfg.CommitInterval = 10 * time.Millisecond
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			h, err := Open(ctx, cfg)
			if err != nil {
				b.Fatal(err)
			}
			go h.Run(ctx)
			began := time.Now()
			var work sync.WaitGroup
			for c := range callers {
				work.Go(func() {
					for i := c; i < b.N; i += callers {
						key := fmt.Sprint(i)
						h.Claim(ctx, row(key, key))
						h.Settle(ctx, key, key, Settled, []byte(`{}`), time.Second)
					}
				})
			}
			work.Wait()
			b.ReportMetric(float64(h.WriteCount())/float64(b.N), "writes/request")
			b.ReportMetric(float64(h.WriteCount())/time.Since(began).Seconds(), "writes/s")
		})
	}
}
