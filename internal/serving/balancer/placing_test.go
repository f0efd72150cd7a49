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

// TestHotPartSpreadsBeforeItQueues replays one shared part that gets more and more of the traffic.
func TestHotPartSpreadsBeforeItQueues(t *testing.T) {
	ask := Request{AffinityKey: "part", SharedTokens: 6000, PromptTokens: 9000}
	list := candidates(9)
	first := Order(now, ask, list)[0].Target.ID
	if again := Order(now, ask, list)[0].Target.ID; again != first {
		t.Fatalf("got %s and then %s for one part, want one target", first, again)
	}
	used := map[string]int{}
	for range 20 {
		best := Order(now, ask, list)[0].Target.ID
		used[best]++
		for i := range list {
			if list[i].Target.ID == best {
				list[i].Running++
				list[i].PendingTokens += ask.PromptTokens
			}
		}
	}
	if len(used) < 5 || used[first] < 2 {
		t.Errorf("20 requests at once went to %v, want several targets and %s most", used, first)
	}
}

func TestFailedAndColdTargetsComeLast(t *testing.T) {
	for _, ask := range []Request{{AffinityKey: "part", SharedTokens: 10, PromptTokens: 20}, {}} {
		list := candidates(3)
		list[0].InBackoff = true
		list[1].Target.ColdUntil = now.Add(time.Second)
		got := Order(now, ask, list)
		if got[0].Target.ID != "t2" || got[1].Target.ID != "t1" || got[2].Target.ID != "t0" {
			t.Errorf("affinity %q: got order %s %s %s, want t2 t1 t0", ask.AffinityKey, got[0].Target.ID, got[1].Target.ID, got[2].Target.ID)
		}
	}
}

func TestLeastLoadedNearTargetFirst(t *testing.T) {
	list := candidates(4)
	list[1].Running = 1
	if got, want := Order(now, Request{LocalDatacentre: "b"}, list)[0].Target.ID, "t3"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
