package ledger

import (
	"reflect"
	"testing"
	"time"
)

func TestCarriesMergeToNewestRows(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	row := func(key string, s State, stamp Stamp, endedAgo time.Duration) Row {
		return Row{Key: key, State: s, Stamp: stamp, ExpiresAtMs: now.Add(-endedAgo).UnixMilli()}
	}
	older, newer := Stamp{Generation: 1, Number: 9}, Stamp{Generation: 2, Number: 1}
	tests := []struct {
		name string
		a, b Carry
		want Carry
	}{
		{name: "nothing known"},
		{
			name: "rows of both",
			a:    Carry{Era: 1, Generation: 4, Rows: []Row{row("b", Claimed, older, 0)}},
			b:    Carry{Era: 2, Generation: 3, Rows: []Row{row("a", Settled, newer, 0)}},
			want: Carry{Era: 2, Generation: 4, Rows: []Row{row("a", Settled, newer, 0), row("b", Claimed, older, 0)}},
		},
		{
			name: "settled after it was claimed",
			a:    Carry{Rows: []Row{row("k", Settled, newer, 0)}},
			b:    Carry{Rows: []Row{row("k", Claimed, older, 0)}},
			want: Carry{Rows: []Row{row("k", Settled, newer, 0)}},
		},
		{
			name: "claimed again after it was void",
			a:    Carry{Rows: []Row{row("k", Void, older, 0)}},
			b:    Carry{Rows: []Row{row("k", Claimed, newer, 0)}},
			want: Carry{Rows: []Row{row("k", Claimed, newer, 0)}},
		},
		{
			name: "over for longer than any copy is old",
			a:    Carry{Generation: 1, Rows: []Row{row("old", Settled, newer, CarryWindow+time.Second)}},
			b:    Carry{Generation: 1, Rows: []Row{row("recent", Settled, older, CarryWindow)}},
			want: Carry{Generation: 1, Rows: []Row{row("recent", Settled, older, CarryWindow)}},
		},
		{
			name: "all over for longer than any copy is old",
			a:    Carry{Generation: 1, Rows: []Row{row("old", Settled, newer, CarryWindow+time.Second)}},
			want: Carry{Generation: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, got := range []Carry{tt.a.Merge(now, tt.b), tt.b.Merge(now, tt.a)} {
				if len(got.Rows) == 0 {
					got.Rows = nil
				}
				if !reflect.DeepEqual(got, tt.want) {
					t.Errorf("got %+v, want %+v", got, tt.want)
				}
			}
		})
	}
}
