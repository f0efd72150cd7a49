package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelFleet is a fleet whose nodes exchange reports through a store, each at its own pace.
type modelFleet struct {
	now     time.Time
	keepers []*Keeper
	store   map[string]Report
	runs    int
	// incidents counts the crashes under bad that lie at least incidentWindow apart.
	incidents int
	lastCrash time.Time
}

var shared = Trait{Kind: PromptPart, Service: "svc", ID: "shared"}

func newModelFleet(nodes int) *modelFleet {
	f := &modelFleet{now: start, store: map[string]Report{}}
	for i := range nodes {
		f.keepers = append(f.keepers, f.newKeeper(i))
	}
	return f
}

func (f *modelFleet) newKeeper(i int) *Keeper {
	return NewKeeper(KeeperConfig{Node: fmt.Sprintf("n-%d", i), OnReport: func(Urgency) {}, OnEvidence: func() {}})
}

// crash lets a target crash under a request with bad at a node, unless the node keeps the request from targets.
func (f *modelFleet) crash(node int, first, victim Trait) {
	k := f.keepers[node]
	if _, ok := check(k, f.now, withParts(first.ID, bad.ID)); ok {
		return
	}
	f.runs++
	k.RecordCrash(f.now, runOf(f.runs), withParts(first.ID, bad.ID), true)
	f.keepers[(node+1)%len(f.keepers)].RecordCrash(f.now, runOf(f.runs), withParts(shared.ID, victim.ID), f.runs%2 == 0)
	if f.now.Sub(f.lastCrash) >= incidentWindow {
		f.incidents++
		f.lastCrash = f.now
	}
}

func (f *modelFleet) publish(node int) {
	k := f.keepers[node]
	k.Review(f.now)
	f.store[k.cfg.Node] = k.Own(f.now)
}

func (f *modelFleet) read(node int) {
	k := f.keepers[node]
	for name, r := range f.store {
		if name != k.cfg.Node {
			k.Merge(f.now, name, r)
		}
	}
}

func (f *modelFleet) settle() {
	for range 2 {
		for i := range f.keepers {
			f.publish(i)
		}
		for i := range f.keepers {
			f.read(i)
		}
		f.now = f.now.Add(doubtfulGrace)
	}
}

// TestFleetQuarantinesOnlyThePartThatCrashes covers crashes at any node with reports that are late, are lost with a node that
// restarts, or overtake each other.
func TestFleetQuarantinesOnlyThePartThatCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(rapid.IntRange(2, 6).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(f.keepers)-1)
		victim := rapid.SampledFrom([]Trait{{Kind: PromptPart, Service: "svc", ID: "v1"}, {Kind: PromptPart, Service: "svc", ID: "v2"}})
		restarted := false
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				f.crash(node.Draw(t, "node"), rapid.SampledFrom([]Trait{shared, {Kind: PromptPart, Service: "svc", ID: "v1"}}).Draw(t, "first"), victim.Draw(t, "victim"))
			},
			"publish": func(t *rapid.T) { f.publish(node.Draw(t, "node")) },
			"read":    func(t *rapid.T) { f.read(node.Draw(t, "node")) },
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				// Sound requests take up to a second and may have been sent before a crash.
				took := time.Duration(rapid.IntRange(1, 1000).Draw(t, "took")) * time.Millisecond
				f.keepers[node.Draw(t, "node")].RecordComplete(f.now, f.now.Add(-took), withParts(shared.ID, victim.Draw(t, "victim").ID))
			},
			"restart": func(t *rapid.T) {
				i := node.Draw(t, "node")
				k := f.newKeeper(i)
				if r, ok := f.store[k.cfg.Node]; ok {
					k.Merge(f.now, k.cfg.Node, r)
				}
				f.keepers[i] = k
				f.read(i)
				restarted = true
			},
		})
		f.settle()
		if !restarted && f.incidents >= doubtfulIncidents {
			for _, k := range f.keepers {
				if !isQuarantined(k.Board(), f.now, shared, bad) {
					t.Errorf("got no quarantine at %s after %d incidents", k.cfg.Node, f.incidents)
				}
			}
		}
		for _, k := range f.keepers {
			k.RecordComplete(f.now, f.now.Add(-time.Millisecond), withParts(shared.ID, "v1", "v2"))
		}
		f.settle()
		for _, k := range f.keepers {
			for _, p := range []Trait{shared, {Kind: PromptPart, Service: "svc", ID: "v1"}, {Kind: PromptPart, Service: "svc", ID: "v2"}} {
				if isQuarantined(k.Board(), f.now, p) {
					t.Errorf("got %s in quarantine at %s after complete responses", p.ID, k.cfg.Node)
				}
			}
		}
	})
}
