package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// BenchmarkReceive measures what a collector pays for a report in a fleet of 340 nodes, whose reports have the responses of four targets on three
// routes each.
func BenchmarkReceive(b *testing.B) {
	const nodes = 340
	begin := time.Unix(1000, 0)
	k := NewKeeper(KeeperConfig{Self: "node-0", StartedAt: 1, Limits: Limits{Share: 0.1}})
	o := Order{Service: "s", Version: "v2", Duration: time.Minute, Created: 1}
	k.RetainOrders(begin, map[string]bool{"s": true})
	k.SetOrder(begin, o, Status{})
	var names []string
	var reports []Report
	for n := range nodes {
		names = append(names, fmt.Sprint("node-", n))
		var sum Sum
		for i := range 40 {
			key := Key{Route: fmt.Sprint("route-", i%3)}
			if i < 4 {
				key.Target = fmt.Sprint("t", (n+i)%90)
			}
			sum = sum.WithRequest().WithResponse(Response{Key: key, Took: 300 * time.Millisecond})
		}
		reports = append(reports, Report{Node: names[n], StartedAt: 1, Order: o, Sum: sum})
	}
	targets := []registry.Target{{ID: "t1", Service: "s", Software: "v2"}}
	b.ResetTimer()
	for i := range b.N {
		// Each node reports twice a second; the collector decides ten times a second.
		at := time.Duration(i) * 500 * time.Millisecond / nodes
		r := reports[i%nodes]
		r.Elapsed = at
		k.Receive(begin.Add(at), r, names)
		if i%(nodes/5) == 0 {
			k.Decide(begin.Add(at), "s", 0, names, targets)
		}
	}
}
