package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bad   = Trait{Kind: PromptPart, Service: "svc", ID: "bad"}
)

func runOf(i int) notice.Target {
	return notice.Target{ID: fmt.Sprintf("i-%d", i), StartedAt: int64(i)}
}

func isQuarantined(b Board, now time.Time, parts ...Trait) bool {
	list, _ := b.Verdicts(now)
	return slices.ContainsFunc(list, func(v Verdict) bool { return v.Applies(parts) })
}

// crashesAt returns a board that learned of one crash under bad at each time after start, each from a node of its own.
func crashesAt(begun, known bool, at ...time.Duration) Board {
	var b Board
	for i, d := range at {
		now := start.Add(d)
		b = b.With(now, fmt.Sprintf("n-%d", i), Report{}.WithStrike(Strike{Trait: bad, Run: runOf(i), At: now, Begun: begun, Known: known}))
	}
	return b
}

func TestQuarantineFollowsIncidents(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name         string
		begun, known bool
		at           []time.Duration
		// from is when the part is in quarantine, 0 for never.
		from time.Duration
	}{
		{name: "two crashes", begun: true, at: []time.Duration{0, s}},
		{name: "three crashes", begun: true, at: []time.Duration{0, s, 2 * s}, from: 2*s + clearGrace},
		{name: "six targets lost together", begun: true, at: []time.Duration{0, 0, 10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 240 * time.Millisecond}},
		{name: "two data centres lost", begun: true, at: []time.Duration{0, 0, 0, 5 * s, 5 * s, 5 * s}},
		{name: "three crashes, but the part was answered before", begun: true, known: true, at: []time.Duration{0, s, 2 * s}},
		{name: "five crashes, the part was answered before", begun: true, known: true, at: []time.Duration{0, s, 2 * s, 3 * s, 4 * s}, from: 4*s + doubtfulGrace},
		{name: "three crashes before a response", at: []time.Duration{0, s, 2 * s}},
		{name: "five crashes before a response", at: []time.Duration{0, s, 2 * s, 3 * s, 4 * s}, from: 4*s + doubtfulGrace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := crashesAt(tt.begun, tt.known, tt.at...)
			if tt.from == 0 {
				if isQuarantined(b, start.Add(time.Minute), bad) {
					t.Error("got a quarantine, want none")
				}
				return
			}
			if _, next := b.Verdicts(start.Add(tt.from - 1)); !next.Equal(start.Add(tt.from)) {
				t.Errorf("got the next verdict due at %s, want %s", next.Sub(start), tt.from)
			}
			if isQuarantined(b, start.Add(tt.from-1), bad) || !isQuarantined(b, start.Add(tt.from), bad) {
				t.Errorf("got a quarantine %t just before %s and %t then, want it from then on", isQuarantined(b, start.Add(tt.from-1), bad), tt.from, isQuarantined(b, start.Add(tt.from), bad))
			}
			if isQuarantined(b, start.Add(tt.from), Trait{Kind: PromptPart, Service: "other", ID: bad.ID}) {
				t.Error("got a quarantine at another service")
			}
			if isQuarantined(b, start.Add(retention+time.Minute), bad) {
				t.Errorf("got a quarantine after %s without any sign of the part", retention)
			}
		})
	}
}

func TestCompleteResponseClearsOnlyEarlierCrashes(t *testing.T) {
	b := crashesAt(true, false, 0, time.Second, 2*time.Second)
	due := start.Add(2*time.Second + clearGrace)
	tests := []struct {
		name string
		sent time.Duration
		want bool
	}{
		{name: "sent before the first crash", sent: -time.Second, want: true},
		{name: "sent at the time of the first crash", sent: 0, want: true},
		{name: "sent after the first crash", sent: time.Millisecond},
		{name: "sent after the last crash", sent: 2100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runs, _ := b.Clearable(due, start.Add(tt.sent), bad)
			cleared := b.With(due, "n-9", Report{}.WithClearance(Clearance{Trait: bad, Runs: runs, At: due}))
			if got := isQuarantined(cleared, due.Add(time.Second), bad); got != tt.want {
				t.Errorf("got a quarantine %t, want %t; %d runs cleared", got, tt.want, len(runs))
			}
		})
	}
}

// TestLateReportsCountByTheirTime covers reports that arrive together when the store is back after an outage.
func TestLateReportsCountByTheirTime(t *testing.T) {
	var b Board
	now := start.Add(time.Minute)
	for i := range clearIncidents {
		at := start.Add(time.Duration(i) * time.Second)
		b = b.With(now, fmt.Sprintf("n-%d", i), Report{}.WithStrike(Strike{Trait: bad, Run: runOf(i), At: at, Begun: true}))
	}
	if isQuarantined(b, now.Add(clearGrace-1), bad) || !isQuarantined(b, now.Add(clearGrace), bad) {
		t.Errorf("got a quarantine %t at once and %t after %s, want the latter only", isQuarantined(b, now.Add(clearGrace-1), bad), isQuarantined(b, now.Add(clearGrace), bad), clearGrace)
	}
}

// TestStartingNodeKnowsQuarantine covers a node that starts after the crashes: the verdict of a node that saw them counts at
// once, also if the reports of the others are gone.
func TestStartingNodeKnowsQuarantine(t *testing.T) {
	strikes := crashesAt(true, false, 0, time.Second, 2*time.Second)
	now := start.Add(time.Minute)
	var fresh Board
	found, _ := strikes.Verdicts(now)
	if len(found) != 1 {
		t.Fatalf("got %d parts in quarantine, want 1", len(found))
	}
	fresh = fresh.With(now, "n-0", strikes.Report("n-0").WithVerdict(found[0]))
	if !isQuarantined(fresh, now, bad) {
		t.Error("got no quarantine, want that of the other node")
	}
	lifted := fresh.With(now, "n-1", strikes.Report("n-1").WithClearance(Clearance{Trait: bad, Runs: found[0].Runs, At: now}))
	if isQuarantined(lifted, now.Add(time.Minute), bad) {
		t.Error("got a quarantine that a complete response speaks against")
	}
}

func TestReportIsBounded(t *testing.T) {
	var r Report
	for i := range 10 * maxEntries {
		p := Trait{Kind: PromptPart, Service: "svc", ID: fmt.Sprint(i)}
		r = r.WithStrike(Strike{Trait: p, Run: runOf(i), At: start}).WithVerdict(Verdict{Traits: []Trait{p}, At: start}).WithClearance(Clearance{Trait: bad, Runs: []notice.Target{runOf(i)}, At: start})
		r = r.Bounded(func(Trait) int { return 1 })
	}
	if got := []int{len(r.Strikes), len(r.Verdicts), len(r.Clearances), len(r.Clearances[0].Runs)}; fmt.Sprint(got) != fmt.Sprint([]int{maxEntries, maxEntries, 1, maxEntries}) {
		t.Errorf("got lengths %v, want at most %d each", got, maxEntries)
	}
	if got := r.Strikes[len(r.Strikes)-1].Trait.ID; got != fmt.Sprint(10*maxEntries-1) {
		t.Errorf("got the last strike of part %s, want the newest to be kept", got)
	}
	if !r.Pruned(start.Add(retention + 1)).IsEmpty() {
		t.Error("got entries after the retention, want none")
	}
}

func TestReportIsImmutable(t *testing.T) {
	first := Report{}.WithStrike(Strike{Trait: bad, Run: runOf(1), At: start})
	second := first.WithStrike(Strike{Trait: bad, Run: runOf(1), At: start, Begun: true}).WithStrike(Strike{Trait: bad, Run: runOf(2), At: start})
	if first.Strikes[0].Begun || len(first.Strikes) != 1 || len(second.Strikes) != 2 || !second.Strikes[0].Begun {
		t.Errorf("got %v and %v, want the first one unchanged", first, second)
	}
}

// TestPartsAreToldApart covers parts that come together in all requests under which targets crash, until others come with one
// of them.
func TestPartsAreToldApart(t *testing.T) {
	common, other := Trait{Kind: PromptPart, Service: "svc", ID: "common"}, Trait{Kind: PromptPart, Service: "svc", ID: "other"}
	together := Board{}
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		r := Report{}.WithStrike(Strike{Trait: bad, Run: runOf(i), At: now, Begun: true}).WithStrike(Strike{Trait: common, Run: runOf(i), At: now, Begun: true})
		together = together.With(now, fmt.Sprintf("n-%d", i), r)
	}
	later := start.Add(time.Minute)
	if !isQuarantined(together, later, common, bad) || isQuarantined(together, later, common, other) || isQuarantined(together, later, bad, other) {
		t.Error("want requests with both parts in quarantine, and none with only one of them")
	}
	answered := together.With(later, "n-4", Report{}.WithClearance(Clearance{Trait: common, Runs: []notice.Target{runOf(0), runOf(1), runOf(2)}, At: later}))
	crashed := together.With(later, "n-4", Report{}.WithStrike(Strike{Trait: bad, Run: runOf(4), At: later, Begun: true}).WithStrike(Strike{Trait: other, Run: runOf(4), At: later, Begun: true}))
	for name, b := range map[string]Board{"one was answered": answered, "another target crashed under one": crashed} {
		if !isQuarantined(b, later, bad, other) || isQuarantined(b, later, common, other) {
			t.Errorf("%s: want the other one alone in quarantine", name)
		}
	}
	list, _ := together.Verdicts(later)
	verdict := Board{}.With(later, "n-0", Report{}.WithVerdict(list[0]))
	if !isQuarantined(verdict, later, common, bad) || isQuarantined(verdict, later, bad) {
		t.Error("got another verdict from a report, want that on both parts")
	}
	verdict = verdict.With(later, "n-1", answered.Report("n-4"))
	if !isQuarantined(verdict, later, bad) || isQuarantined(verdict, later, common) {
		t.Error("want the verdict without the part that was answered")
	}
}
