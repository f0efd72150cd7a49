package intake

import "testing"

// BenchmarkWaiting measures a decision for one of many that wait, on a node whose connections are all in use.
func BenchmarkWaiting(b *testing.B) {
	budget := NewBudget(testLimits)
	for id := range ID(1300) {
		budget.with(id, Serving, 32<<10)
	}
	for b.Loop() {
		budget.Acquire(start, 1, 4<<20, ForRequest, start)
	}
}
