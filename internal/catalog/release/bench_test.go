package release

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

func teamSet(teams int) Set {
	s := smallSet()
	for i := range teams {
		s.Add(team.Team{Name: fmt.Sprintf("team-%d", i)}.WithDefaults())
	}
	return s
}

func packed(b *testing.B, s Set) ([]Chunk, []string) {
	b.Helper()
	chunks, err := Pack(s)
	if err != nil {
		b.Fatal(err)
	}
	var names []string
	for _, c := range chunks {
		names = append(names, c.Hash)
	}
	return chunks, names
}

// BenchmarkSwap is what a node does for a release in which one team has changed; bytes is what is sent for it.
func BenchmarkSwap(b *testing.B) {
	for _, teams := range []int{3000, 10000, 30000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := teamSet(teams)
			chunks, names := packed(b, s)
			var none *Release
			before := heap()
			old, err := none.Build(Head{Number: 1, Chunks: names}, chunks)
			if err != nil {
				b.Fatal(err)
			}
			held := heap() - before
			s.Teams["team-7"] = team.Team{Name: "team-7", Weight: 2}.WithDefaults()
			fresh, after := packed(b, s)
			head := Head{Number: 2, Chunks: after}
			var sent []Chunk
			bytes := 0
			for _, c := range fresh {
				if _, ok := old.Chunk(c.Hash); !ok {
					sent = append(sent, c)
					bytes += len(c.Data)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := old.Build(head, sent); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "sentbytes")
			b.ReportMetric(float64(held), "heapbytes")
		})
	}
}

// heap is how many bytes are in use once the garbage is gone.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkPublish is what the publishing node does: check and pack the whole set.
func BenchmarkPublish(b *testing.B) {
	for _, teams := range []int{3000, 10000, 30000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := teamSet(teams)
			for b.Loop() {
				if len(s.Validate()) > 0 {
					b.Fatal("got faults, want none")
				}
				packed(b, s)
			}
		})
	}
}
