package admission

import (
	"fmt"
	"testing"
)

// BenchmarkQueue measures one push and one pop with waiting jobs of many teams.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := NewQueue()
			for i := range teams {
				q.Push(Job{ID: fmt.Sprint(i), Team: fmt.Sprint(i), Weight: 1, Priority: 1, Deadline: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				j, _ := q.Pop()
				q.Push(j)
			}
		})
	}
}
