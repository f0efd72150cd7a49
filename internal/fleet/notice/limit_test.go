package notice

import (
	"testing"
	"time"
)

// TestLimitReportsThatOvertakeEachOther covers responses whose order of arrival is not that in which the target wrote them.
func TestLimitReportsThatOvertakeEachOther(t *testing.T) {
	type report struct {
		perSecond float64
		sent      time.Duration
		heard     time.Duration
	}
	none := Unlimited.PerSecond
	tests := []struct {
		name    string
		reports []report
		want    float64
	}{
		{name: "none", want: none},
		{name: "no limit named", reports: []report{{none, 0, 1}}, want: none},
		{name: "named", reports: []report{{5, 0, 1}}, want: 5},
		{name: "changed", reports: []report{{5, 0, 1}, {8, 1, 2}}, want: 8},
		{name: "ended", reports: []report{{5, 0, 1}, {none, 2, 3}}, want: none},
		{name: "ended and back", reports: []report{{5, 0, 1}, {none, 2, 3}, {3, 4, 5}}, want: 3},
		{name: "an older response without a limit comes late", reports: []report{{5, 2, 3}, {none, 1, 4}}, want: 5},
		{name: "an older response with a limit comes late", reports: []report{{none, 2, 3}, {5, 2, 3}, {none, 4, 5}, {5, 1, 6}}, want: 5},
		{name: "and the next one settles it", reports: []report{{5, 2, 3}, {none, 4, 5}, {5, 1, 6}, {none, 6, 7}}, want: none},
		{name: "another node's old report", reports: []report{{5, 0, 1}, {none, 4, 5}, {7, 1, 2}}, want: none},
		{name: "the stricter of two at a time", reports: []report{{8, 0, 3}, {5, 1, 2}}, want: 5},
		{name: "the stricter of two at a time, other order", reports: []report{{5, 1, 2}, {8, 0, 3}}, want: 5},
		{name: "the milder one is repeated", reports: []report{{5, 1, 2}, {8, 0, 3}, {8, 3, 4}}, want: 8},
		{name: "repeated, then an older one", reports: []report{{5, 0, 1}, {5, 4, 5}, {8, 3, 6}}, want: 5},
		{name: "none at all", reports: []report{{0, 0, 1}}, want: 0},
		{name: "more than any target serves", reports: []report{{1e308, 0, 1}}, want: none},
		{name: "raised beyond what any target serves", reports: []report{{5, 0, 1}, {1e308, 1, 2}}, want: none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Board
			at := start
			for _, r := range tt.reports {
				at = start.Add(r.heard * time.Second)
				b, _ = b.WithLimit(at, LimitReport{Target: target, Limit: Limit{PerSecond: r.perSecond}, SentAt: start.Add(r.sent * time.Second), HeardAt: at})
			}
			if got := b.Limit(at, target).PerSecond; got != tt.want {
				t.Errorf("got limit %v, want %v", got, tt.want)
			}
			if got := b.Limit(at, Target{ID: target.ID, StartedAt: target.StartedAt + 1}); got != Unlimited {
				t.Errorf("got limit %v for another run of the target, want none", got)
			}
		})
	}
}

func TestLimitThatNobodyRepeatsRunsOut(t *testing.T) {
	b, isNew := Board{}.WithLimit(start, LimitReport{Target: target, Limit: Limit{PerSecond: 2}, SentAt: start, HeardAt: start})
	if !isNew || len(b.LimitNews(start)) != 1 {
		t.Fatalf("got new %t, %d reports to pass on, want a new limit and one", isNew, len(b.LimitNews(start)))
	}
	if got := b.Limit(start.Add(limitRetention), target).PerSecond; got != 2 {
		t.Errorf("got limit %v after %s, want it to hold", got, limitRetention)
	}
	end := start.Add(limitRetention + time.Second)
	if got := b.Limit(end, target); got != Unlimited {
		t.Errorf("got limit %v after the retention, want none", got)
	}
	b, expired := b.ExpiredLimits(end)
	if len(expired) != 1 {
		t.Errorf("got %d limits that ran out, want 1", len(expired))
	}
	if _, again := b.ExpiredLimits(end); len(again) != 0 {
		t.Errorf("got %d limits that ran out a second time, want none", len(again))
	}
}

func TestEndedLimitIsForgotten(t *testing.T) {
	b, _ := Board{}.WithLimit(start, LimitReport{Target: target, Limit: Limit{PerSecond: 2}, SentAt: start, HeardAt: start})
	end := start.Add(time.Second)
	b, changed := b.WithLimit(end, LimitReport{Target: target, Limit: Unlimited, SentAt: end, HeardAt: end})
	if !changed || !b.Recovering(end, target) || b.Recovering(end.Add(RecoveryTime), target) {
		t.Errorf("got changed %t, want an end of the limit after which the target recovers for %s", changed, RecoveryTime)
	}
	later := end.Add(endedRetention + time.Second)
	b, _ = b.WithLimit(later, LimitReport{Target: Target{ID: "i-2"}, Limit: Limit{PerSecond: 2}, SentAt: later, HeardAt: later})
	if got := len(b.limits); got != 1 {
		t.Errorf("got %d limits kept, want 1", got)
	}
}
