package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// lossReports returns the reports of nodes that each had some requests at each of ten targets which were lost together.
func lossReports(nodes, requests int) []Report {
	reports := make([]Report, nodes)
	for n := range reports {
		for run := range 10 {
			for i := range requests {
				reports[n] = reports[n].WithStrike(Strike{Trait: request(fmt.Sprintf("r-%d-%d-%d", n, run, i))[0], Run: runOf(run), At: start})
			}
		}
	}
	return reports
}

// BenchmarkDecide measures the decision on a sound request with a body of 4 KB, beside verdicts on other requests.
func BenchmarkDecide(b *testing.B) {
	for _, verdicts := range []int{0, 10, 1000} {
		b.Run(fmt.Sprintf("verdicts=%d", verdicts), func(b *testing.B) {
			k := newTestKeeper(&keeperLog{})
			var r Report
			for i := range verdicts {
				r = r.WithVerdict(Verdict{Traits: request(fmt.Sprint("bad-", i)), At: start})
				if len(r.Verdicts) == maxRequestVerdicts || i == verdicts-1 {
					k.Merge(start, fmt.Sprint("n-", i), r)
					r = Report{}
				}
			}
			sound := Request{Service: "svc", Head: "POST app.example /x team", Body: make([]byte, 4<<10)}
			b.ResetTimer()
			for range b.N {
				if k.Decide(start.Add(time.Second), sound) != (Send{}) {
					b.Fatal("got the sound request kept from targets")
				}
			}
		})
	}
}

// BenchmarkRemember measures what an answered request with a body of 4 KB costs while no target has crashed.
func BenchmarkRemember(b *testing.B) {
	k := newTestKeeper(&keeperLog{})
	r := Request{Service: "svc", Head: "POST app.example /x team", Body: make([]byte, 4<<10)}
	for range b.N {
		k.RecordComplete(start, start, r)
	}
}

// BenchmarkMerge measures the intake of the reports of all nodes after ten targets were lost together.
func BenchmarkMerge(b *testing.B) {
	for _, nodes := range []int{8, 60, 340} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			reports := lossReports(nodes, 2)
			for range b.N {
				k := newTestKeeper(&keeperLog{})
				for n, r := range reports {
					k.Merge(start, fmt.Sprint("n-", n+10), r)
				}
			}
		})
	}
}
