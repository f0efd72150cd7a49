package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
)

var lineTerms = route.Batch{Size: 4, Call: 200 * time.Millisecond, Piece: 10 * time.Millisecond, Room: 1000, Keep: 4 * time.Second}

func lineOf(names ...string) *Line {
	l := NewLine()
	var targets []roster.Target
	for _, n := range names {
		targets = append(targets, roster.Target{ID: n, Address: n + ":1", Datacentre: "a"})
	}
	l.Refresh(start, targets)
	for _, t := range l.Unsure(start) {
		l.Found(start, lineTerms, t, Space{Least: lineTerms.Room, Most: lineTerms.Room})
	}
	return l
}

func (l *Line) fill(n int, bytes int64) {
	for range n {
		l.Add(piece(Group{Bytes: bytes, Prompt: at(60000), Last: at(90000)}))
	}
}

// begin begins a call and gives the number of its pieces.
func begin(t *testing.T, l *Line, now time.Time) *Call {
	t.Helper()
	l.Round()
	c, ok := l.Begin(now, lineTerms)
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
			x = Result{Reason: Full}
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
		now = now.Add(lineTerms.Took(4))
		c.End(now, lineTerms, replies(c, 0))
		// The next call is the first moment at which a piece may fit.
		for {
			now = now.Add(10 * time.Millisecond)
			l.Round()
			if x := l.lanes["t1"]; lineTerms.Room-x.room(now) >= 250 {
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
	target := roster.Target{ID: "t1", Address: "t1:1", Datacentre: "a"}
	for _, c := range []struct {
		name  string
		space Space
		want  int
	}{
		{"all is free", Space{Least: 1000, Most: 1100}, 4},
		{"half is free", Space{Least: 500, Most: 500}, 2},
		{"no more than a piece is free", Space{Least: 0, Most: 300}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLine()
			l.Refresh(start, []roster.Target{target})
			l.Unsure(start)
			l.Found(start, lineTerms, target, c.space)
			l.fill(4, 250)
			if got := len(begin(t, l, start).Pieces); got != c.want {
				t.Errorf("got a call of %d pieces, want %d", got, c.want)
			}
		})
	}
}

func TestAsksATargetBeforeItsFirstCallAndGoesOnWithoutAnAnswer(t *testing.T) {
	l := NewLine()
	l.Refresh(start, []roster.Target{{ID: "t1", Datacentre: "a"}})
	l.fill(1, 1)
	if got, want := len(l.Unsure(start)), 1; got != want {
		t.Errorf("%d targets are to be asked, want %d", got, want)
	}
	l.Round()
	if _, ok := l.Begin(start, lineTerms); ok {
		t.Error("a call began before the target could tell its space")
	}
	if _, ok := l.Begin(start.Add(askWithin), lineTerms); !ok {
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
	now := start.Add(lineTerms.Took(4))
	sound.End(now, lineTerms, replies(sound, 4))
	now = start.Add(5 * lineTerms.Took(4))
	slow.End(now, lineTerms, replies(slow, 4))
	l.fill(2, 1)
	if got, want := begin(t, l, now).Target.ID, "sound"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	l.fill(2, 1)
	if _, ok := l.Begin(now, lineTerms); ok {
		t.Error("the slow target got a call though the sound one is free sooner")
	}
	l.fill(40, 1)
	l.Round()
	if c, ok := l.Begin(now, lineTerms); !ok || c.Target.ID != "slow" {
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
			late := piece(Group{Request: "late", Bytes: 1, Prompt: at(100), Last: at(6000)})
			l.Add(late)
			now := start.Add(time.Second)
			gave := 0
			for range 16 {
				l.fill(c.burst, 1)
				gave += len(l.Late(now, lineTerms))
				call := begin(t, l, now)
				now = now.Add(call.Expected)
				call.End(now, lineTerms, replies(call, len(call.Pieces)))
				l.lanes["t1"].held, l.lanes["t1"].used = map[string]holding{}, 0
			}
			if gave != c.want {
				t.Errorf("%d late pieces were given up, want %d", gave, c.want)
			}
		})
	}
}
