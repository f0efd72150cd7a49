package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func candidates(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Target: registry.Target{ID: fmt.Sprint("t", i), Datacentre: string(rune('a' + i%2))}})
	}
	return list
}

// TestHotPrefixSpreadsOverTargets covers one shared prefix that gets more and more of the traffic.
func TestHotPrefixSpreadsOverTargets(t *testing.T) {
	r := Request{AffinityKey: "prefix", SharedTokens: 6000, PromptTokens: 9000}
	list := candidates(9)
	first := Order(now, r, list)[0].Target.ID
	if again := Order(now, r, list)[0].Target.ID; again != first {
		t.Fatalf("got %s and then %s for one prefix, want one target", first, again)
	}
	counts := map[string]int{}
	for range 20 {
		best := Order(now, r, list)[0].Target.ID
		counts[best]++
		for i := range list {
			if list[i].Target.ID == best {
				list[i].Running++
				list[i].PendingTokens += r.PromptTokens
			}
		}
	}
	if len(counts) < 5 || counts[first] < 2 {
		t.Errorf("got %v for 20 concurrent requests, want at least 5 targets and 2 requests for %s", counts, first)
	}
}

func TestColdTargetsAndTargetsInBackoffComeLast(t *testing.T) {
	for _, r := range []Request{{AffinityKey: "prefix", SharedTokens: 10, PromptTokens: 20}, {}} {
		list := candidates(3)
		list[0].InBackoff = true
		list[1].Target.ColdUntil = now.Add(time.Second)
		got := Order(now, r, list)
		if got[0].Target.ID != "t2" || got[1].Target.ID != "t1" || got[2].Target.ID != "t0" {
			t.Errorf("affinity %q: got order %s %s %s, want t2 t1 t0", r.AffinityKey, got[0].Target.ID, got[1].Target.ID, got[2].Target.ID)
		}
	}
}

func TestLeastLoadedLocalTargetFirst(t *testing.T) {
	list := candidates(4)
	list[1].Running = 1
	if got, want := Order(now, Request{LocalDatacentre: "b"}, list)[0].Target.ID, "t3"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
