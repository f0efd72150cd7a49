package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCollector measures one second of a collector in a fleet of 340 nodes after the shift: two reports of each node, with counts of 70
// targets on four routes, and ten decisions.
func BenchmarkCollector(b *testing.B) {
	var names []string
	counts := map[Key]Counts{}
	for route := range 4 {
		for target := range 70 {
			counts[Key{Route: fmt.Sprint("r", route), Target: fmt.Sprint("t", target)}] = Counts{Responses: 3}
		}
	}
	for i := range 340 {
		names = append(names, fmt.Sprint("n", i))
	}
	k := newTestKeeper("n0")
	k.SetOrder(testBegin, testOrder, Status{})
	targets := testTargets(35)
	second := 0
	for b.Loop() {
		for tick := range 10 {
			at := time.Duration(10*second+tick) * 100 * time.Millisecond
			now := testBegin.Add(at)
			for i := range 68 {
				name := names[(tick%5)*68+i]
				k.Receive(now, Report{Node: name, StartedAt: 1, Order: testOrder, Elapsed: at, Sum: Sum{Requests: second, Counts: counts}}, names)
			}
			k.Decide(now, "svc", 0, names, targets)
		}
		second++
	}
}
