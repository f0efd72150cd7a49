package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

var testProfile = route.BatchProfile{MaxSize: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultSpace: 1000, ResultTTL: 4 * time.Second}

func newTestScheduler(names ...string) *Scheduler {
	s := NewScheduler()
	var targets []registry.Target
	for _, n := range names {
		targets = append(targets, registry.Target{ID: n, Address: n + ":1", Datacentre: "a"})
	}
	s.SetTargets(start, targets)
	for _, t := range s.TargetsToProbe(start) {
		s.RecordSpace(start, testProfile, t, Space{Min: testProfile.ResultSpace, Max: testProfile.ResultSpace})
	}
	return s
}

func (s *Scheduler) addPieces(n int, bytes int64) {
	for range n {
		s.Add(piece(Group{ResultBytes: bytes, StartByObjective: at(60000), StartByDeadline: at(90000)}))
	}
}

// startCall starts the next call of a new round.
func startCall(t *testing.T, s *Scheduler, now time.Time) *Call {
	t.Helper()
	s.StartRound()
	c, ok := s.NextCall(now, testProfile)
	if !ok {
		t.Fatalf("got no call at %s, want one", now.Sub(start))
	}
	return c
}

// newReply returns the reply to a call of which only the first completed results found space.
func newReply(c *Call, completed int) Reply {
	var r Reply
	for i := range c.Pieces {
		x := Result{Handle: fmt.Sprint(c.Target.Address, "/", c.Started.UnixNano(), i)}
		if i >= completed {
			x = Result{Reason: NoSpace}
		}
		r.Results = append(r.Results, x)
	}
	return r
}

// TestNoSpaceDoublesRetryInterval guards against frequent calls without results after the loss of all nodes: the results
// of the lost nodes' calls hold the targets' space until they expire, and each call before then returns its pieces
// without results.
func TestNoSpaceDoublesRetryInterval(t *testing.T) {
	s := newTestScheduler("t1")
	now := start
	var gaps []time.Duration
	last := start
	for range 4 {
		s.addPieces(4, 250)
		c := startCall(t, s, now)
		gaps = append(gaps, now.Sub(last))
		last = now
		now = now.Add(testProfile.CallDuration(4))
		c.Complete(now, testProfile, newReply(c, 0))
		// The next call starts as soon as a piece may fit.
		for {
			now = now.Add(10 * time.Millisecond)
			s.StartRound()
			if st := s.targets["t1"]; testProfile.ResultSpace-st.usedBytes(now) >= 250 {
				break
			}
		}
		s.waiting = Queue{}
	}
	for i := 2; i < len(gaps); i++ {
		if gaps[i] <= gaps[i-1] {
			t.Errorf("got gaps %s between calls without space, want each longer than the one before", gaps[1:])
		}
	}
}

func TestCallFitsReportedSpace(t *testing.T) {
	target := registry.Target{ID: "t1", Address: "t1:1", Datacentre: "a"}
	for _, c := range []struct {
		name  string
		space Space
		want  int
	}{
		{"all space free", Space{Min: 1000, Max: 1100}, 4},
		{"half free", Space{Min: 500, Max: 500}, 2},
		{"space for one piece", Space{Min: 0, Max: 300}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewScheduler()
			s.SetTargets(start, []registry.Target{target})
			s.TargetsToProbe(start)
			s.RecordSpace(start, testProfile, target, c.space)
			s.addPieces(4, 250)
			if got := len(startCall(t, s, start).Pieces); got != c.want {
				t.Errorf("got a call of %d pieces, want %d", got, c.want)
			}
		})
	}
}

func TestProbePrecedesFirstCall(t *testing.T) {
	s := NewScheduler()
	s.SetTargets(start, []registry.Target{{ID: "t1", Datacentre: "a"}})
	s.addPieces(1, 1)
	if got, want := len(s.TargetsToProbe(start)), 1; got != want {
		t.Errorf("got %d targets to probe, want %d", got, want)
	}
	s.StartRound()
	if _, ok := s.NextCall(start, testProfile); ok {
		t.Error("got a call before the target could report its space, want none")
	}
	if _, ok := s.NextCall(start.Add(probeTimeout), testProfile); !ok {
		t.Error("got no call after the probe timeout, want one")
	}
}

// TestSlowTargetGetsOnlyExcessWork covers a target that takes five times as long: a few pieces wait for the steady
// target, many use both.
func TestSlowTargetGetsOnlyExcessWork(t *testing.T) {
	s := newTestScheduler("slow", "steady")
	s.addPieces(8, 1)
	a, b := startCall(t, s, start), startCall(t, s, start)
	slow, steady := a, b
	if b.Target.ID == "slow" {
		slow, steady = b, a
	}
	now := start.Add(testProfile.CallDuration(4))
	steady.Complete(now, testProfile, newReply(steady, 4))
	now = start.Add(5 * testProfile.CallDuration(4))
	slow.Complete(now, testProfile, newReply(slow, 4))
	s.addPieces(2, 1)
	if got, want := startCall(t, s, now).Target.ID, "steady"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	s.addPieces(2, 1)
	if _, ok := s.NextCall(now, testProfile); ok {
		t.Error("got a call of the slow target though the steady one is free sooner, want none")
	}
	s.addPieces(40, 1)
	s.StartRound()
	if c, ok := s.NextCall(now, testProfile); !ok || c.Target.ID != "slow" {
		t.Error("got no call of the slow target though many pieces wait, want one")
	}
}

// newSlowScheduler returns a scheduler whose target "slow" has just taken five times as long as "steady".
func newSlowScheduler(t *testing.T) (s *Scheduler, now time.Time) {
	s = newTestScheduler("slow", "steady")
	s.addPieces(8, 1)
	now = start.Add(5 * testProfile.CallDuration(4))
	for range 2 {
		c := startCall(t, s, start)
		ended := now
		if c.Target.ID == "steady" {
			ended = start.Add(testProfile.CallDuration(4))
		}
		c.Complete(ended, testProfile, newReply(c, 4))
	}
	return s, now
}

// TestSlowTargetUsesItsGrants covers a target that names a limit and has become slow: it takes the next piece if that is on time
// there, or if no other target may take it.
func TestSlowTargetUsesItsGrants(t *testing.T) {
	limit := Limit{Interval: 500 * time.Millisecond}
	for _, tt := range []struct {
		name string
		// aim is the time in which the piece has to start to meet its objective.
		aim    time.Duration
		limits map[string]Limit
		want   string
	}{
		{"piece on time", 2 * time.Second, map[string]Limit{"slow": limit}, "slow"},
		{"piece late", 100 * time.Millisecond, map[string]Limit{"slow": limit}, "steady"},
		{"piece late, no other target has a grant", 100 * time.Millisecond, map[string]Limit{"slow": limit, "steady": limit}, "slow"},
		{"no limit", 2 * time.Second, nil, "steady"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := newSlowScheduler(t)
			s.SetLimits(tt.limits)
			s.RecordGrant(now, s.targets["slow"].target)
			s.Add(piece(Group{ResultBytes: 1, StartByObjective: now.Add(tt.aim), StartByDeadline: now.Add(time.Minute)}))
			if got := startCall(t, s, now).Target.ID; got != tt.want {
				t.Errorf("got target %q, want %q", got, tt.want)
			}
		})
	}
}

// TestPiecesDoNotWaitForTargetWithoutGrant covers pieces for a target that has become slow and one that names a limit: they go to the
// slow one rather than wait for a grant.
func TestPiecesDoNotWaitForTargetWithoutGrant(t *testing.T) {
	for _, tt := range []struct {
		name     string
		hasGrant bool
		want     string
	}{{"grant", true, "steady"}, {"no grant", false, "slow"}} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := newSlowScheduler(t)
			s.SetLimits(map[string]Limit{"steady": {Interval: 500 * time.Millisecond}})
			if tt.hasGrant {
				s.RecordGrant(now, s.targets["steady"].target)
			}
			s.addPieces(1, 1)
			if got := startCall(t, s, now).Target.ID; got != tt.want {
				t.Errorf("got target %q, want %q", got, tt.want)
			}
		})
	}
}

// TestNoGrantForTargetThatGetsNoCall covers a piece that a slow target would make late: no grant is taken that would not be used.
func TestNoGrantForTargetThatGetsNoCall(t *testing.T) {
	for _, tt := range []struct {
		aim  time.Duration
		want int
	}{{2 * time.Second, 1}, {100 * time.Millisecond, 0}} {
		s, now := newSlowScheduler(t)
		s.SetLimits(map[string]Limit{"slow": {Interval: 500 * time.Millisecond}})
		s.Add(piece(Group{ResultBytes: 1, StartByObjective: now.Add(tt.aim), StartByDeadline: now.Add(time.Minute)}))
		if got := len(s.TargetsToClaim(now, testProfile)); got != tt.want {
			t.Errorf("piece to start within %s: got %d targets to claim, want %d", tt.aim, got, tt.want)
		}
	}
}

// TestShortCallsAreNotSlow covers a call that takes twice as long as expected because of some tens of milliseconds, and one that
// takes longer.
func TestShortCallsAreNotSlow(t *testing.T) {
	profile := testProfile
	profile.CallTime, profile.PieceTime = 20*time.Millisecond, 0
	for _, tt := range []struct {
		took     time.Duration
		wantCall bool
	}{{40 * time.Millisecond, true}, {120 * time.Millisecond, false}} {
		s := newTestScheduler("a", "b")
		s.addPieces(4, 1)
		c := startCall(t, s, start)
		now := start.Add(tt.took)
		c.Complete(now, profile, newReply(c, 4))
		s.addPieces(4, 1)
		other := startCall(t, s, now)
		s.addPieces(2, 1)
		s.StartRound()
		if _, got := s.NextCall(now, profile); got != tt.wantCall {
			t.Errorf("call of %s, then one of %s: got another call %t, want %t", tt.took, other.Target.ID, got, tt.wantCall)
		}
	}
}

// TestExpiresStarvedLatePieces guards against late pieces that wait until their caller has left: in a long burst, pieces
// that can still meet their objective fill every call.
func TestExpiresStarvedLatePieces(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst int
		want  int
	}{
		{"calls filled by pieces on time", 4, 1},
		{"calls with space for late pieces", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler("t1")
			late := piece(Group{Request: "late", ResultBytes: 1, StartByObjective: at(100), StartByDeadline: at(6000)})
			s.Add(late)
			now := start.Add(time.Second)
			expired := 0
			for range 16 {
				s.addPieces(c.burst, 1)
				expired += len(s.Expire(now, testProfile))
				call := startCall(t, s, now)
				now = now.Add(call.Expected)
				call.Complete(now, testProfile, newReply(call, len(call.Pieces)))
				s.targets["t1"].held, s.targets["t1"].heldBytes = map[string]heldResult{}, 0
			}
			if expired != c.want {
				t.Errorf("got %d expired late pieces, want %d", expired, c.want)
			}
		})
	}
}

// TestCallStartsAtOnce covers what earlier calls show of other dispatchers that use the target.
func TestCallStartsAtOnce(t *testing.T) {
	type earlierCall struct {
		took time.Duration
		// others is the number of calls of other dispatchers that the target reports.
		others int
		// idle is the time until the next call.
		idle time.Duration
	}
	expected := testProfile.CallDuration(1)
	alone := earlierCall{took: expected}
	tests := []struct {
		name    string
		earlier []earlierCall
		want    bool
	}{
		{name: "nothing is known after taking over", want: false},
		{name: "alone", earlier: []earlierCall{alone}, want: true},
		{name: "another call is reported", earlier: []earlierCall{alone, {took: expected, others: 1}}, want: false},
		{name: "alone again, too recently", earlier: []earlierCall{{took: expected, others: 1}, alone}, want: false},
		{name: "alone again for long", earlier: []earlierCall{{took: expected, others: 1}, alone, alone, alone, alone, alone}, want: true},
		{name: "waited for another call that then ended", earlier: []earlierCall{alone, {took: 2 * expected}}, want: false},
		{name: "idle for so long that another dispatcher may have come", earlier: []earlierCall{{took: expected, idle: sharedPeriod}}, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("t1")
			now := start
			for _, e := range tt.earlier {
				s.addPieces(1, 1)
				c := startCall(t, s, now)
				now = now.Add(e.took)
				r := newReply(c, 1)
				r.Running = e.others
				c.Complete(now, testProfile, r)
				now = now.Add(e.idle)
			}
			s.addPieces(1, 1)
			if got := startCall(t, s, now).StartsAtOnce; got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestHasRoomWhileTwoMoreCallsFit covers results that stay until their readers have ended: they must not keep the target from further calls.
func TestHasRoomWhileTwoMoreCallsFit(t *testing.T) {
	tests := []struct {
		name string
		// held are the bytes of earlier results at the target, call those of the last call.
		held, call int64
		want       bool
	}{
		{name: "empty but for the last call", call: 300, want: true},
		{name: "two more calls just fit", held: 100, call: 300, want: true},
		{name: "one more call fits", held: 200, call: 300, want: false},
		{name: "a large call", call: 400, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("t1")
			now := start
			for _, bytes := range []int64{tt.held, tt.call} {
				s.addPieces(1, bytes)
				c := startCall(t, s, now)
				now = now.Add(testProfile.CallDuration(1))
				c.Complete(now, testProfile, newReply(c, 1))
			}
			if got := s.HasRoom(now, testProfile, map[string]bool{"t1:1": true}); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
			if !s.HasRoom(now, testProfile, map[string]bool{"t2:1": true}) {
				t.Error("got no room at a target that is gone, want true")
			}
		})
	}
}
