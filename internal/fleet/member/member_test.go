package member

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestTableGoesOnlyUp(t *testing.T) {
	live := Member{Name: "a", Generation: 2, Datacentre: "maipo", State: Joining}.WithState(Live, start)
	tests := []struct {
		name string
		row  Member
		want State
	}{
		{"the same row", live, Live},
		{"an earlier change", Member{Name: "a", Generation: 2, State: Gone}, Live},
		{"an earlier generation", Member{Name: "a", Generation: 1, Revision: 9, State: Gone}, Live},
		{"a later change", live.WithState(Stopping, start), Stopping},
		{"a later generation", Member{Name: "a", Generation: 3, State: Joining}, Joining},
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

func TestTablesWithTheSameRowsHaveTheSameHash(t *testing.T) {
	a := Member{Name: "a", Generation: 1, State: Live}
	b := Member{Name: "b", Generation: 1, State: Live}
	one, _ := NewTable([]Member{a}).Merge(start, []Member{b})
	two, _ := NewTable([]Member{b}).Merge(start, []Member{a})
	if one.Hash() != two.Hash() {
		t.Errorf("got %x and %x, want the same", one.Hash(), two.Hash())
	}
}

func TestGoneRowsAreForgottenAndDoNotComeBack(t *testing.T) {
	gone := Member{Name: "a", Generation: 1}.WithState(Gone, start)
	table := NewTable([]Member{gone, {Name: "b", Generation: 1, State: Live}})
	if _, past := table.Prune(start.Add(GoneRetention)); len(past) != 0 {
		t.Errorf("got %d rows forgotten early, want 0", len(past))
	}
	later := start.Add(GoneRetention + time.Millisecond)
	table, past := table.Prune(later)
	if len(past) != 1 || len(table.Rows()) != 1 {
		t.Errorf("got %d forgotten and %d kept, want 1 and 1", len(past), len(table.Rows()))
	}
	if _, changed := table.Merge(later, []Member{gone}); changed {
		t.Error("got a forgotten row taken in again")
	}
}
