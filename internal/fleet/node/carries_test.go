package node

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
)

// TestOldRowsOfFormerHoldersAreDropped covers a node that has handed over its shards and holds none any more.
func TestOldRowsOfFormerHoldersAreDropped(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	row := func(key string, endedAgo time.Duration) ledger.Row {
		return ledger.Row{Key: key, State: ledger.Settled, ExpiresAtMs: now.Add(-endedAgo).UnixMilli()}
	}
	l := &ledgers{carries: map[int]ledger.Carry{
		1: {Rows: []ledger.Row{row("old", ledger.CarryWindow+time.Second)}},
		2: {Rows: []ledger.Row{row("old", ledger.CarryWindow+time.Second), row("recent", time.Second)}},
	}}
	l.pruneCarries(now)
	if _, ok := l.carries[1]; ok {
		t.Error("got rows kept that are older than any copy of the platform, want them dropped")
	}
	if got := l.carries[2].Rows; len(got) != 1 || got[0].Key != "recent" {
		t.Errorf("got rows %v, want the recent one", got)
	}
}
