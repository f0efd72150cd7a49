package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// BenchmarkClaim measures one claim at a desk that is full, each of whose claims names eight of a hundred targets.
func BenchmarkClaim(b *testing.B) {
	for _, waiting := range []int{8, 64, maxClaims} {
		b.Run(fmt.Sprint(waiting, " claims"), func(b *testing.B) {
			d := NewDesk(0)
			targets := make([]notice.Target, 100)
			for i := range targets {
				targets[i] = notice.Target{ID: fmt.Sprint("i-", i)}
			}
			claim := func(i int) Claim {
				first := i * 8 % 92
				return Claim{ID: fmt.Sprint(i), Targets: targets[first : first+8], Worth: 1, StartBy: modelStart.Add(time.Hour)}
			}
			rate := func(notice.Target) float64 { return 0.001 }
			for i := range waiting {
				d.Add(claim(i))
			}
			d.Settle(modelStart, rate)
			for i := range b.N {
				d.Withdraw(fmt.Sprint(i))
				d.Add(claim(waiting + i))
				d.Settle(modelStart, rate)
			}
		})
	}
}

// BenchmarkKeepers measures the search for the keepers of a pool, with the list of nodes as it was.
func BenchmarkKeepers(b *testing.B) {
	var nodes []registry.Node
	for i := range 340 {
		nodes = append(nodes, registry.Node{Name: fmt.Sprint("n-", i), Datacentre: string(rune('a' + i%8))})
	}
	r := registry.New().WithNodes(nodes)
	var x Ranking
	for range b.N {
		Keepers(x.Rank(modelPool, r), func(string) bool { return false })
	}
}
