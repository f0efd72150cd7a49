package member

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestMergeKeepsNewestRow(t *testing.T) {
	live := Member{Name: "a", Generation: 2, Datacentre: "maipo", State: Joining}.WithState(Live, start)
	tests := []struct {
		name string
		row  Member
		want State
	}{
		{"same row", live, Live},
		{"earlier revision", Member{Name: "a", Generation: 2, State: Gone}, Live},
		{"earlier generation", Member{Name: "a", Generation: 1, Revision: 9, State: Gone}, Live},
		{"later revision", live.WithState(Stopping, start), Stopping},
		{"later generation", Member{Name: "a", Generation: 3, State: Joining}, Joining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, _ := NewTable([]Member{live}).Merge(start, []Member{tt.row})
			if got, _ := table.Get("a"); got.State != tt.want {
				t.Errorf("got %s, want %s", got.State, tt.want)
			}
		})
	}
}

func TestSameRowsHaveSameHash(t *testing.T) {
	a := Member{Name: "a", Generation: 1, State: Live}
	b := Member{Name: "b", Generation: 1, State: Live}
	one, _ := NewTable([]Member{a}).Merge(start, []Member{b})
	two, _ := NewTable([]Member{b}).Merge(start, []Member{a})
	if one.Hash() != two.Hash() {
		t.Errorf("got %x and %x, want the same", one.Hash(), two.Hash())
	}
}

func TestPrunedRowsAreNotMergedAgain(t *testing.T) {
	gone := Member{Name: "a", Generation: 1}.WithState(Gone, start)
	table := NewTable([]Member{gone, {Name: "b", Generation: 1, State: Live}})
	if _, pruned := table.Prune(start.Add(GoneRetention)); len(pruned) != 0 {
		t.Errorf("got %d rows pruned early, want 0", len(pruned))
	}
	later := start.Add(GoneRetention + time.Millisecond)
	table, pruned := table.Prune(later)
	if len(pruned) != 1 || len(table.Rows()) != 1 {
		t.Errorf("got %d rows pruned and %d kept, want 1 and 1", len(pruned), len(table.Rows()))
	}
	if _, changed := table.Merge(later, []Member{gone}); changed {
		t.Error("got a pruned row merged again, want it ignored")
	}
}
