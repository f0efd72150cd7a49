package admission

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestQueueSharesByWeightInBursts(t *testing.T) {
	tests := []struct {
		name       string
		weights    map[string]int
		burst      map[string]int
		pops       int
		wantShares map[string]int
	}{
		{"equal", map[string]int{"a": 1, "b": 1}, map[string]int{"a": 1000, "b": 50}, 100, map[string]int{"a": 50, "b": 50}},
		{"by weight", map[string]int{"a": 1, "b": 3}, map[string]int{"a": 1000, "b": 1000}, 100, map[string]int{"a": 25, "b": 75}},
		{"small burst served in full", map[string]int{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 1000, "b": 1000, "c": 10}, 90, map[string]int{"a": 40, "b": 40, "c": 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue()
			for team, n := range tt.burst {
				for i := range n {
					q.Push(Job{ID: fmt.Sprintf("%s-%d", team, i), Team: team, Weight: tt.weights[team], Priority: 1, Deadline: start})
				}
			}
			got := map[string]int{}
			for range tt.pops {
				j, _ := q.Pop()
				got[j.Team]++
			}
			for team, want := range tt.wantShares {
				if got[team] < want-1 || got[team] > want+1 {
					t.Errorf("got %d for team %s, want %d", got[team], team, want)
				}
			}
		})
	}
}

// TestQueueAgainstSortedList compares the queue of one team with a list sorted by priority and deadline.
func TestQueueAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		var list []Job
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			j := Job{ID: fmt.Sprint(i), Team: "a", Weight: 1, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Deadline: start.Add(time.Duration(i*7919%1009) * time.Millisecond)}
			q.Push(j)
			list = append(list, j)
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				k := rapid.IntRange(0, len(list)-1).Draw(t, "index")
				if _, ok := q.Remove(list[k].ID); !ok {
					t.Fatalf("got no job %s to remove", list[k].ID)
				}
				list = append(list[:k], list[k+1:]...)
			}
		}
		sort.Slice(list, func(a, b int) bool {
			if list[a].Priority != list[b].Priority {
				return list[a].Priority < list[b].Priority
			}
			return list[a].Deadline.Before(list[b].Deadline)
		})
		for _, want := range list {
			got, ok := q.Pop()
			if !ok || got.ID != want.ID {
				t.Fatalf("got %s, want %s", got.ID, want.ID)
			}
		}
		if q.Len() != 0 {
			t.Fatalf("got %d left, want 0", q.Len())
		}
	})
}

func TestEvictionFavoursSmallTeam(t *testing.T) {
	q := NewQueue()
	for i := range 20 {
		q.Push(Job{ID: fmt.Sprint(i), Team: "large", Weight: 1, Priority: 1, Deadline: start.Add(time.Duration(i) * time.Second)})
	}
	got, ok := q.EvictionCandidate(Job{ID: "x", Team: "small", Weight: 1, Priority: 1})
	if !ok || got.ID != "19" {
		t.Errorf("got %v %t, want the job of the large team with the latest deadline", got.ID, ok)
	}
	if _, ok := q.EvictionCandidate(Job{ID: "y", Team: "large", Weight: 1, Priority: 1}); ok {
		t.Error("got a candidate for the team that holds all jobs, want none")
	}
	if got := q.CountAhead(Job{Team: "small", Weight: 1, Priority: 1}); got != 1 {
		t.Errorf("got %d ahead of a small team's first job, want 1", got)
	}
}
