package rollout

import (
	"testing"
	"time"
)

// TestLateReportChangesNothing guards against reports that overtake each other: one from before a request was sent again to another
// version would make the node look drained.
func TestLateReportChangesNothing(t *testing.T) {
	idle := Report{Node: "n0", StartedAt: 1, Order: testOrder, Elapsed: time.Second, IsShifted: true, Sum: Sum{Requests: 10}}
	busy := idle
	busy.Elapsed, busy.OldRunning = 2*time.Second, 1
	fewer, restarted, again, other := busy, idle, idle, busy
	fewer.Sum.Requests, fewer.OldRunning = 9, 0
	restarted.StartedAt, restarted.Sum = 2, Sum{Requests: 3}
	again.StartedAt, again.IsShifted, again.Sum = 3, false, Sum{Requests: 1}
	other.Order.Created, other.Sum = 9, Sum{Requests: 90}
	e := NewEvidence(testOrder)
	for _, tt := range []struct {
		name         string
		report       Report
		wantDrained  bool
		wantRequests int
	}{
		{"first", idle, true, 10}, {"later", busy, false, 10}, {"late", idle, false, 10}, {"twice", busy, false, 10}, {"with fewer requests", fewer, false, 10},
		{"other order", other, false, 10}, {"after a restart", restarted, true, 13}, {"of the run before", busy, true, 13}, {"unshifted after another restart", again, false, 14},
	} {
		e = e.With(heardReport{tt.report, testBegin})
		if got, n := e.IsDrained(testBegin, []string{"n0"}), e.Sum().Requests; got != tt.wantDrained || n != tt.wantRequests {
			t.Errorf("%s: got drained %t and %d requests, want %t and %d", tt.name, got, n, tt.wantDrained, tt.wantRequests)
		}
	}
}

// TestDecisions checks what a node does in each failure of docs/design/rollout.md, at a time since an order of 6 s: the shift is due
// after 4 s, the final state after 4.8 s.
func TestDecisions(t *testing.T) {
	bad := Bad{Reason: Failing}
	served, failed := goodSum(26), Sum{}.WithResponse(Response{Key: Key{Target: "new0"}, Failed: true})
	heard := func(p Progress, at time.Duration) Progress {
		return p.WithHeard(testBegin.Add(at)).WithTime(testBegin.Add(at), true)
	}
	running := NewProgress(testBegin, testOrder, time.Time{}).WithState(Running)
	shifted := heard(running, 4*time.Second)
	longOrder := testOrder
	longOrder.Duration = 30 * time.Second
	long := heard(NewProgress(testBegin, longOrder, time.Time{}).WithState(Running), 26*time.Second)
	for _, tt := range []struct {
		name       string
		p          Progress
		at         time.Duration
		s          Situation
		own        Sum
		wantStep   Step
		wantChoice Choice
		want       Action
	}{
		{"order seen", NewProgress(testBegin, testOrder, time.Time{}), 0, Situation{}, Sum{}, Canary, OldOnly, Write{Running, Seen}},
		{"order seen by the second collector", NewProgress(testBegin, testOrder, time.Time{}), 0, Situation{Rank: 1}, Sum{}, Canary, OldOnly, Keep{}},
		{"first collector lost", NewProgress(testBegin, testOrder, time.Time{}), takeover, Situation{Rank: 1}, Sum{}, Canary, OldOnly, Write{Running, Seen}},
		{"share used up", running, 0, Situation{}, Sum{Requests: 24, Sent: 2}, Canary, OldOnly, Keep{}},
		{"share left", running, 0, Situation{}, Sum{Requests: 24, Sent: 1}, Canary, CanariesFirst, Keep{}},
		{"bad version", running.WithVerdict(testBegin, bad), 0, Situation{}, served, Withdrawn, OldOnly, Write{RolledBack, BadVersion}},
		{"bad version, third node", running.WithVerdict(testBegin, bad), 900 * time.Millisecond, Situation{Rank: 2}, served, Withdrawn, OldOnly, Keep{}},
		{"bad version, first two lost", running.WithVerdict(testBegin, bad), time.Second, Situation{Rank: 2}, served, Withdrawn, OldOnly, Write{RolledBack, BadVersion}},
		{"bad after the shift", shifted.WithVerdict(testBegin.Add(4500*time.Millisecond), bad), 4500 * time.Millisecond, Situation{}, served, Withdrawn, OldOnly, Write{RolledBack, BadVersion}},
		{"no evidence heard", running, 1600 * time.Millisecond, Situation{}, Sum{}, Paused, OldOnly, Keep{}},
		{"evidence heard again", heard(running, 2*time.Second), 2 * time.Second, Situation{}, Sum{Requests: 12}, Canary, CanariesFirst, Keep{}},
		{"no targets at the shift", running.WithHeard(testBegin.Add(4*time.Second)).WithTime(testBegin.Add(4*time.Second), false), 4 * time.Second, Situation{}, Sum{}, Canary, OldOnly, Keep{}},
		{"cut off before the shift", running.WithTime(testBegin.Add(4*time.Second), true), 4 * time.Second, Situation{}, served, Paused, OldOnly, Keep{}},
		{"cut off after the shift", shifted, 9 * time.Second, Situation{Sum: served}, served, Shifted, NewFirst, Keep{}},
		{"drained early", shifted, 4500 * time.Millisecond, Situation{HasEvidence: true, IsDrained: true, Sum: served}, served, Shifted, NewFirst, Keep{}},
		{"drained after the due time of the second", shifted, 5 * time.Second, Situation{Rank: 1, HasEvidence: true, IsDrained: true, Sum: served}, served, Shifted, NewFirst, Keep{}},
		{"drained, long order", long, 28 * time.Second, Situation{HasEvidence: true, IsDrained: true, Sum: served}, served, Shifted, NewFirst, Write{Completed, Drained}},
		{"not drained, long order", long, 28 * time.Second, Situation{HasEvidence: true, Sum: served}, served, Shifted, NewFirst, Keep{}},
		{"due, requests still run", shifted, 4800 * time.Millisecond, Situation{HasEvidence: true, Sum: served}, served, Shifted, NewFirst, Write{Completed, DueNow}},
		{"due, no response", shifted, 4800 * time.Millisecond, Situation{HasEvidence: true}, Sum{}, Shifted, NewFirst, Write{RolledBack, NoEvidence}},
		{"due, few responses failed", shifted, 4800 * time.Millisecond, Situation{HasEvidence: true, Sum: failed}, failed, Shifted, NewFirst, Write{RolledBack, NoEvidence}},
		{"due, never shifted", running, 4800 * time.Millisecond, Situation{HasEvidence: true, Sum: served}, served, Paused, OldOnly, Write{RolledBack, NoEvidence}},
		{"due, store was down", shifted, time.Minute, Situation{HasEvidence: true, Sum: served}, served, Shifted, NewFirst, Write{Completed, DueNow}},
		{"due, few nodes heard", shifted, 4800 * time.Millisecond, Situation{IsDrained: true, Sum: served}, served, Shifted, NewFirst, Keep{}},
		{"completed, verdict late", shifted.WithState(Completed).WithVerdict(testBegin, bad), 5 * time.Second, Situation{HasEvidence: true}, served, Done, NewOnly, Keep{}},
		{"completed, then read as rolled back", shifted.WithState(Completed).WithState(RolledBack), 5 * time.Second, Situation{}, served, Done, NewOnly, Keep{}},
		{"rolled back, then read as completed", shifted.WithState(RolledBack).WithState(Completed), 5 * time.Second, Situation{}, served, Withdrawn, OldOnly, Keep{}},
		{"restarted near the end", heard(NewProgress(testBegin, testOrder, testBegin.Add(-time.Hour)), 0), 0, Situation{Rank: 1}, Sum{}, Shifted, NewFirst, Write{Running, Seen}},
		{"told of an earlier start", heard(running.WithElapsed(testBegin, 4*time.Second), 0), 0, Situation{}, Sum{}, Shifted, NewFirst, Keep{}},
	} {
		now := testBegin.Add(tt.at)
		if got := tt.p.Step(now); got != tt.wantStep {
			t.Errorf("%s: got step %s, want %s", tt.name, got, tt.wantStep)
		}
		if got := tt.p.Choose(now, testLimits, tt.own, 1); got != tt.wantChoice {
			t.Errorf("%s: got choice %s, want %s", tt.name, got, tt.wantChoice)
		}
		if got := tt.p.Next(now, tt.s); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
