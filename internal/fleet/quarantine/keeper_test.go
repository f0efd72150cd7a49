package quarantine

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// keeperLog records what a keeper asked for.
type keeperLog struct{ urgencies []Urgency }

// countParts returns the number of strikes on parts of prompts.
func countParts(list []Strike) int {
	n := 0
	for _, s := range list {
		if s.Trait.Kind == PromptPart {
			n++
		}
	}
	return n
}

func newTestKeeper(log *keeperLog) *Keeper {
	return NewKeeper(KeeperConfig{Node: "n-1", OnReport: func(u Urgency) { log.urgencies = append(log.urgencies, u) }, OnEvidence: func() {}})
}

// check returns the verdict that keeps a request from targets, if there is one.
func check(k *Keeper, now time.Time, r Request) (Verdict, bool) {
	d, ok := k.Decide(now, r).(Reject)
	return d.Verdict, ok
}

// heads numbers the requests of withParts.
var heads atomic.Int64

// withParts returns a request whose prompt has some parts, and that no other request is the same as.
func withParts(ids ...string) Request {
	return Request{Service: "svc", Parts: ids, Head: fmt.Sprint("request ", heads.Add(1))}
}

// crashThrice records three incidents under bad and returns when the verdict is due.
func crashThrice(k *Keeper) (due time.Time) {
	for i := range clearIncidents {
		k.RecordCrash(start.Add(time.Duration(i)*time.Second), runOf(i), withParts("bad"), true)
	}
	return start.Add((clearIncidents-1)*time.Second + clearGrace)
}

func TestKeeperReviewsOnce(t *testing.T) {
	var log keeperLog
	k := newTestKeeper(&log)
	due := crashThrice(k)
	if changes, next := k.Review(due.Add(-time.Millisecond)); len(changes) != 0 || !next.Equal(due) {
		t.Errorf("got %d changes, next at %s, want none and %s", len(changes), next, due)
	}
	changes, _ := k.Review(due)
	if len(changes) != 1 || changes[0].Lifted || len(changes[0].Runs) != clearIncidents {
		t.Fatalf("got changes %v, want the quarantine with its %d runs", changes, clearIncidents)
	}
	if changes, _ := k.Review(due.Add(time.Second)); len(changes) != 0 {
		t.Errorf("got changes %v a second time, want none", changes)
	}
	if own := k.Own(due); len(own.Verdicts) != 1 || !slices.Equal(own.Verdicts[0].Traits, []Trait{bad}) {
		t.Errorf("got own verdicts %v, want one on %s", own.Verdicts, bad.ID)
	}
	k.RecordComplete(due.Add(2*time.Second), due.Add(time.Second), withParts("bad"))
	if changes, _ := k.Review(due.Add(2 * time.Second)); len(changes) != 1 || !changes[0].Lifted {
		t.Errorf("got changes %v after a complete response, want one that lifts", changes)
	}
	want := []Urgency{Immediate, Immediate, Immediate, Immediate, Deferred}
	if !slices.Equal(log.urgencies, want) {
		t.Errorf("got urgencies %v, want %v", log.urgencies, want)
	}
}

// TestRejectedRequestsKeepQuarantine covers a part that requests are rejected for long after the last crash.
func TestRejectedRequestsKeepQuarantine(t *testing.T) {
	var log keeperLog
	k := newTestKeeper(&log)
	due := crashThrice(k)
	k.Review(due)
	for now := due; now.Before(due.Add(3 * retention)); now = now.Add(time.Minute) {
		if _, ok := check(k, now, withParts("other", "bad")); !ok {
			t.Fatalf("got no quarantine after %s, want it while requests with the part come", now.Sub(due))
		}
	}
	last := due.Add(3 * retention)
	if _, ok := check(k, last.Add(2*retention), withParts("bad")); ok {
		t.Errorf("got a quarantine %s after the last request with the part", 2*retention)
	}
	if want := int(3*retention/confirmInterval) + 6; len(log.urgencies) > want {
		t.Errorf("got %d reports, want at most %d", len(log.urgencies), want)
	}
}

// TestAnsweredPartNeedsMoreCrashes covers a common part that is at every target when several fail one after the other.
func TestAnsweredPartNeedsMoreCrashes(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	k.RecordComplete(start, start.Add(-time.Second), withParts("bad"))
	due := crashThrice(k)
	if _, ok := check(k, due.Add(time.Minute), withParts("bad")); ok {
		t.Error("got a quarantine of a part that was answered before")
	}
	if !k.IsSuspect(due, withParts("bad")) {
		t.Error("got no suspicion after three incidents")
	}
}

func TestRememberedPartsAreBounded(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	for i := range 5 * maxKnown {
		k.RecordComplete(start, start, withParts(runOf(i).ID))
	}
	if got := len(k.parts.known) + len(k.parts.former); got > 2*maxKnown {
		t.Errorf("got %d parts remembered, want at most %d", got, 2*maxKnown)
	}
	if got := len(k.requests.known) + len(k.requests.former); got > 2*maxKnown {
		t.Errorf("got %d requests remembered, want at most %d", got, 2*maxKnown)
	}
	if !k.parts.has(Trait{Kind: PromptPart, Service: "svc", ID: runOf(5*maxKnown - 1).ID}) {
		t.Error("got the newest part forgotten")
	}
}

func TestNewsAreWhatOthersDoNotHave(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	due := crashThrice(k)
	if !k.HasNews(due) {
		t.Error("got no news after crashes")
	}
	k.Merge(due, "n-2", k.Own(due))
	if k.HasNews(due) {
		t.Error("got news that another node has reported")
	}
	k.Review(due)
	if !k.HasNews(due) {
		t.Error("got no news after a verdict")
	}
	k.Merge(due, "n-2", k.Own(due))
	if k.HasNews(due) {
		t.Error("got the verdict as news that another node has reported")
	}
	k.Remove(due, "n-2")
	if !k.HasNews(due) {
		t.Error("got no news after the other node's report was deleted")
	}
}

func TestOwnReportSurvivesRestart(t *testing.T) {
	before := newTestKeeper(&keeperLog{})
	due := crashThrice(before)
	before.Review(due)
	k := newTestKeeper(&keeperLog{})
	k.RecordCrash(due, runOf(9), withParts("other"), false)
	k.Merge(due, "n-1", before.Own(due))
	if got := countParts(k.Own(due).Strikes); got != clearIncidents+1 {
		t.Errorf("got %d strikes, want those from before the restart and the new one", got)
	}
	if _, ok := check(k, due, withParts("bad")); !ok {
		t.Error("got no quarantine after the restart")
	}
}

func TestPlannedStopIsNoCrash(t *testing.T) {
	k := newTestKeeper(&keeperLog{})
	due := crashThrice(k)
	k.RecordPlannedStop(due, runOf(1))
	if _, ok := check(k, due.Add(time.Minute), withParts("bad")); ok || countParts(k.Own(due).Strikes) != clearIncidents-1 {
		t.Errorf("got a quarantine %t with %d strikes, want none with %d", ok, countParts(k.Own(due).Strikes), clearIncidents-1)
	}
}

// TestPartBehindManyOthersIsFound covers a part that crashes targets behind more parts than one crash strikes.
func TestPartBehindManyOthersIsFound(t *testing.T) {
	var log keeperLog
	k := newTestKeeper(&log)
	var sound []string
	for i := range 2 * maxStruckParts {
		sound = append(sound, "sound"+string(rune('a'+i)))
	}
	k.RecordComplete(start.Add(-time.Minute), start.Add(-time.Minute), withParts(sound...))
	for i := range clearIncidents {
		k.RecordCrash(start.Add(time.Duration(i)*time.Second), runOf(i), withParts(append(slices.Clone(sound), "bad")...), true)
	}
	due := start.Add((clearIncidents-1)*time.Second + clearGrace)
	if verdict, ok := check(k, due, withParts(append(slices.Clone(sound), "bad")...)); !ok || !slices.Equal(verdict.Traits, []Trait{bad}) {
		t.Errorf("got verdict on %v (%t), want one on %s alone", verdict.Traits, ok, bad.ID)
	}
}
