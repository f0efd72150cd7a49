package balancer

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

func TestPlace(t *testing.T) {
	paused := func(d time.Duration) Candidate {
		return Candidate{Target: registry.Target{ID: "paused", Slots: 6}, PausedUntil: now.Add(d), Recovering: true}
	}
	running := func(n int) Candidate {
		return Candidate{Target: registry.Target{ID: "running", Slots: 6}, Running: n}
	}
	limited := func(askIn time.Duration) Candidate {
		return Candidate{Target: registry.Target{ID: "limited", Slots: 6}, IsLimited: true, AskAt: now.Add(askIn)}
	}
	tests := []struct {
		name    string
		list    []Candidate
		startBy time.Duration
		want    Placement
	}{
		{name: "the others take what a limited one does not", list: []Candidate{limited(time.Second), running(0)}, want: Send{}},
		{name: "the others have their share of the slots", list: []Candidate{limited(time.Second), running(3)}, startBy: time.Second, want: Wait{Until: now.Add(recheckInterval)}},
		{name: "the others are paused for too long", list: []Candidate{limited(time.Second), paused(time.Second)}, startBy: 200 * time.Millisecond, want: Ask{}},
		{name: "all are limited", list: []Candidate{limited(0), limited(time.Second)}, startBy: time.Second, want: Ask{}},
		{name: "no targets", want: Reject{}},
		{name: "the others take the load", list: []Candidate{paused(time.Second), running(0)}, want: Send{}},
		{name: "the others have their share", list: []Candidate{paused(time.Second), running(3)}, startBy: time.Second, want: Wait{Until: now.Add(recheckInterval)}},
		{name: "the others have their share and time is short", list: []Candidate{paused(time.Second), running(3)}, want: Reject{RetryAfter: recheckInterval}},
		{name: "all are paused, briefly", list: []Candidate{paused(time.Second), paused(100 * time.Millisecond)}, startBy: 200 * time.Millisecond, want: Wait{Until: now.Add(100 * time.Millisecond)}},
		{name: "all are paused for too long", list: []Candidate{paused(time.Second), paused(2 * time.Second)}, startBy: 200 * time.Millisecond, want: Reject{RetryAfter: time.Second}},
		{name: "no pause, no limit", list: []Candidate{running(30)}, want: Send{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Place(now, Request{StartBy: now.Add(tt.startBy)}, tt.list, 2)
			if send, ok := got.(Send); ok {
				if send.Targets[0].Target.ID != "running" {
					t.Errorf("got %s, want a target that is not paused", send.Targets[0].Target.ID)
				}
				got = Send{}
			}
			if !equalPlacements(got, tt.want) {
				t.Errorf("got %#v, want %#v", got, tt.want)
			}
		})
	}
}

func equalPlacements(a, b Placement) bool {
	switch a.(type) {
	case Send:
		_, ok := b.(Send)
		return ok
	case Ask:
		_, ok := b.(Ask)
		return ok
	default:
		return a == b
	}
}

// busyReplay replays a service near its limit in steps of a millisecond: one target turns slow, and each rejects what does
// not fit its queue and asks to be left alone.
type busyReplay struct {
	nodes, targets, slots, queue int
	interval, work, pause        time.Duration
}

type replayedRequest struct {
	node    int
	arrived time.Time
	retryAt time.Time
}

// run returns the number of requests that were served within 150 ms and the number that targets rejected.
func (b busyReplay) run(place func(time.Time, Request, []Candidate, int) Placement) (onTime, rejected int) {
	const length, patience = 10 * time.Second, 150 * time.Millisecond
	type running struct {
		node  int
		start time.Time
		end   time.Time
	}
	atTarget := make([][]running, b.targets)
	boards := make([]notice.Board, b.nodes)
	var waiting []replayedRequest
	next := now
	sent := 0
	for at := now; at.Before(now.Add(length)); at = at.Add(time.Millisecond) {
		for ; !next.After(at); next = next.Add(b.interval) {
			waiting = append(waiting, replayedRequest{node: sent % b.nodes, arrived: at, retryAt: at})
			sent++
		}
		for i := range atTarget {
			kept := atTarget[i][:0]
			for _, r := range atTarget[i] {
				if r.end.After(at) {
					kept = append(kept, r)
				} else if r.end.Sub(r.start) <= patience {
					onTime++
				}
			}
			atTarget[i] = kept
		}
		var still []replayedRequest
		for _, r := range waiting {
			if r.retryAt.After(at) {
				still = append(still, r)
				continue
			}
			var list []Candidate
			for i, queue := range atTarget {
				c := Candidate{Target: registry.Target{ID: string(rune('a' + i)), Slots: b.slots}}
				for _, x := range queue {
					if x.node == r.node {
						c.Running++
					}
				}
				key := notice.Target{ID: c.Target.ID}
				c.PausedUntil, c.Recovering = boards[r.node].PausedUntil(at, key), boards[r.node].Recovering(at, key)
				list = append(list, c)
			}
			switch p := place(at, Request{StartBy: r.arrived.Add(patience - b.work)}, list, b.nodes).(type) {
			case Wait:
				r.retryAt = p.Until
				still = append(still, r)
			case Send:
				i := int(p.Targets[0].Target.ID[0] - 'a')
				if len(atTarget[i]) >= b.slots+b.queue {
					rejected++
					boards[r.node], _ = boards[r.node].With(at, notice.Target{ID: p.Targets[0].Target.ID}, notice.Pause{Duration: b.pause})
					continue
				}
				work := b.work
				if i == 0 && at.Sub(now) > 2*time.Second && at.Sub(now) < 5*time.Second {
					work *= 6
				}
				begin := at
				if n := len(atTarget[i]) - b.slots; n >= 0 {
					begin = atTarget[i][n].end
				}
				atTarget[i] = append(atTarget[i], running{node: r.node, start: r.arrived, end: begin.Add(work)})
			}
		}
		waiting = still
	}
	return onTime, rejected
}

// TestBusyTargetsDoNotOverloadTheOthers replays a target that turns slow while its service is near its limit, against sending
// all that is displaced to the others.
func TestBusyTargetsDoNotOverloadTheOthers(t *testing.T) {
	b := busyReplay{nodes: 4, targets: 3, slots: 4, queue: 8, interval: 2900 * time.Microsecond, work: 30 * time.Millisecond, pause: 500 * time.Millisecond}
	toOthers := func(now time.Time, r Request, list []Candidate, _ int) Placement {
		var free []Candidate
		for _, c := range list {
			if !now.Before(c.PausedUntil) {
				free = append(free, c)
			}
		}
		if len(free) == 0 {
			return Reject{}
		}
		return Send{Targets: Order(now, r, free)}
	}
	onTimeBefore, rejectedBefore := b.run(toOthers)
	onTime, rejected := b.run(Place)
	t.Logf("on time %d, rejected by targets %d; with all load at the others %d and %d", onTime, rejected, onTimeBefore, rejectedBefore)
	if onTime < onTimeBefore || rejected > rejectedBefore/2 {
		t.Errorf("got %d on time and %d rejected by targets, want at least %d and at most %d", onTime, rejected, onTimeBefore, rejectedBefore/2)
	}
}
