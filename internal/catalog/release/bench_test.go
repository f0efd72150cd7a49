package release

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

func setWithTeams(teams int) Set {
	s := smallSet()
	for i := range teams {
		s.Add(team.Team{Name: fmt.Sprintf("team-%d", i)}.WithDefaults())
	}
	return s
}

func packSet(b *testing.B, s Set) ([]Chunk, []string) {
	b.Helper()
	chunks, err := Pack(s)
	if err != nil {
		b.Fatal(err)
	}
	var hashes []string
	for _, c := range chunks {
		hashes = append(hashes, c.Hash)
	}
	return chunks, hashes
}

// BenchmarkSwap measures what a node does for a release in which one team has changed; sentbytes is the size of what is
// sent for it, heapbytes the heap that the former release takes.
func BenchmarkSwap(b *testing.B) {
	for _, teams := range []int{3000, 10000, 30000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := setWithTeams(teams)
			chunks, hashes := packSet(b, s)
			var none *Release
			before := heap()
			old, err := none.Build(Head{Number: 1, Chunks: hashes}, chunks)
			if err != nil {
				b.Fatal(err)
			}
			used := heap() - before
			s.Teams["team-7"] = team.Team{Name: "team-7", Weight: 2}.WithDefaults()
			newChunks, newHashes := packSet(b, s)
			head := Head{Number: 2, Chunks: newHashes}
			var sent []Chunk
			bytes := 0
			for _, c := range newChunks {
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
			b.ReportMetric(float64(used), "heapbytes")
		})
	}
}

// heap returns the number of bytes in use after a garbage collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkPublish measures what the publishing node does: validate and pack the whole set.
func BenchmarkPublish(b *testing.B) {
	for _, teams := range []int{3000, 10000, 30000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := setWithTeams(teams)
			for b.Loop() {
				if len(s.Validate()) > 0 {
					b.Fatal("got violations, want none")
				}
				packSet(b, s)
			}
		})
	}
}
