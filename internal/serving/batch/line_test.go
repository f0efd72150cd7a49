package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

var lineTerms = route.BatchProfile{MaxSize: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultSpace: 1000, ResultTTL: 4 * time.Second}

func lineOf(names ...string) *Scheduler {
	l := NewScheduler()
	var targets []registry.Target
	for _, n := range names {
		targets = append(targets, registry.Target{ID: n, Address: n + ":1", Datacentre: "a"})
	}
	l.SetTargets(start, targets)
	for _, t := range l.TargetsToProbe(start) {
		l.RecordSpace(start, lineTerms, t, Space{Min: lineTerms.ResultSpace, Max: lineTerms.ResultSpace})
	}
	return l
}

func (l *Scheduler) fill(n int, bytes int64) {
	for range n {
		l.Add(piece(Group{ResultBytes: bytes, StartByObjective: at(60000), StartByDeadline: at(90000)}))
	}
}

// begin begins a call and gives the number of its pieces.
func begin(t *testing.T, l *Scheduler, now time.Time) *Call {
	t.Helper()
	l.StartRound()
	c, ok := l.NextCall(now, lineTerms)
	if !ok {
		t.Fatalf("no call began at %s", now.Sub(start))
	}
	return c
}

// replies makes the answer of a call of which the first results found space.
func replies(c *Call, made int) Reply {
	var r Reply
	for i := range c.Pieces {
		x := Result{Handle: fmt.Sprint(c.Target.Address, "/", c.Started.UnixNano(), i)}
		if i >= made {
			x = Result{Reason: NoSpace}
		}
		r.Results = append(r.Results, x)
	}
	return r
}

// TestTriesSpaceThatOthersHoldHalfAsOften replays the loss of all nodes: what they had made holds the targets' space for
// as long as results are kept, and each call that hopes for it brings pieces back without a result.
func TestTriesSpaceThatOthersHoldHalfAsOften(t *testing.T) {
	l := lineOf("t1")
	now := start
	var gaps []time.Duration
	last := start
	for range 4 {
		l.fill(4, 250)
		c := begin(t, l, now)
		gaps = append(gaps, now.Sub(last))
		last = now
		now = now.Add(lineTerms.CallDuration(4))
		c.Complete(now, lineTerms, replies(c, 0))
		// The next call is the first moment at which a piece may fit.
		for {
			now = now.Add(10 * time.Millisecond)
			l.StartRound()
			if x := l.lanes["t1"]; lineTerms.ResultSpace-x.room(now) >= 250 {
				break
			}
		}
		l.waiting = Queue{}
	}
	for i := 2; i < len(gaps); i++ {
		if gaps[i] <= gaps[i-1] {
			t.Errorf("calls without space came after %s, want longer and longer gaps", gaps[1:])
		}
	}
}

func TestBelievesWhatATargetTellsOfItsSpace(t *testing.T) {
	target := registry.Target{ID: "t1", Address: "t1:1", Datacentre: "a"}
	for _, c := range []struct {
		name  string
		space Space
		want  int
	}{
		{"all is free", Space{Min: 1000, Max: 1100}, 4},
		{"half is free", Space{Min: 500, Max: 500}, 2},
		{"no more than a piece is free", Space{Min: 0, Max: 300}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewScheduler()
			l.SetTargets(start, []registry.Target{target})
			l.TargetsToProbe(start)
			l.RecordSpace(start, lineTerms, target, c.space)
			l.fill(4, 250)
			if got := len(begin(t, l, start).Pieces); got != c.want {
				t.Errorf("got a call of %d pieces, want %d", got, c.want)
			}
		})
	}
}

func TestAsksATargetBeforeItsFirstCallAndGoesOnWithoutAnAnswer(t *testing.T) {
	l := NewScheduler()
	l.SetTargets(start, []registry.Target{{ID: "t1", Datacentre: "a"}})
	l.fill(1, 1)
	if got, want := len(l.TargetsToProbe(start)), 1; got != want {
		t.Errorf("%d targets are to be asked, want %d", got, want)
	}
	l.StartRound()
	if _, ok := l.NextCall(start, lineTerms); ok {
		t.Error("a call began before the target could tell its space")
	}
	if _, ok := l.NextCall(start.Add(askWithin), lineTerms); !ok {
		t.Error("no call began though the target does not answer")
	}
}

// TestKeepsOffASlowTarget replays a target that takes five times as long: few pieces wait for the sound one, many take
// both.
func TestKeepsOffASlowTarget(t *testing.T) {
	l := lineOf("slow", "sound")
	l.fill(8, 1)
	a, b := begin(t, l, start), begin(t, l, start)
	slow, sound := a, b
	if b.Target.ID == "slow" {
		slow, sound = b, a
	}
	now := start.Add(lineTerms.CallDuration(4))
	sound.Complete(now, lineTerms, replies(sound, 4))
	now = start.Add(5 * lineTerms.CallDuration(4))
	slow.Complete(now, lineTerms, replies(slow, 4))
	l.fill(2, 1)
	if got, want := begin(t, l, now).Target.ID, "sound"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	l.fill(2, 1)
	if _, ok := l.NextCall(now, lineTerms); ok {
		t.Error("the slow target got a call though the sound one is free sooner")
	}
	l.fill(40, 1)
	l.StartRound()
	if c, ok := l.NextCall(now, lineTerms); !ok || c.Target.ID != "slow" {
		t.Error("the slow target got no call though many pieces wait")
	}
}

// TestGivesUpLatePiecesThatOthersLeaveNoPlaceFor replays a burst that goes on: pieces in time fill every call, so a
// piece that is late already would wait until its caller has left.
func TestGivesUpLatePiecesThatOthersLeaveNoPlaceFor(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst int
		want  int
	}{
		{"calls are filled by pieces in time", 4, 1},
		{"calls have places left", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := lineOf("t1")
			late := piece(Group{Request: "late", ResultBytes: 1, StartByObjective: at(100), StartByDeadline: at(6000)})
			l.Add(late)
			now := start.Add(time.Second)
			gave := 0
			for range 16 {
				l.fill(c.burst, 1)
				gave += len(l.Expire(now, lineTerms))
				call := begin(t, l, now)
				now = now.Add(call.Expected)
				call.Complete(now, lineTerms, replies(call, len(call.Pieces)))
				l.lanes["t1"].held, l.lanes["t1"].used = map[string]holding{}, 0
			}
			if gave != c.want {
				t.Errorf("%d late pieces were given up, want %d", gave, c.want)
			}
		})
	}
}
