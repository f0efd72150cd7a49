package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// TestResultsOfUnansweredCallHoldRoom guards against calls for whose results there is no room since the response to an earlier call was lost.
func TestResultsOfUnansweredCallHoldRoom(t *testing.T) {
	s := newTestScheduler("t1")
	s.addPieces(4, 250)
	c := startCall(t, s, start)
	now := start.Add(time.Second)
	c.Fail(now)
	c.RecordUnanswered(now, testProfile)
	if got := len(s.TargetsToProbe(now)); got > 0 {
		t.Errorf("got %d targets to probe right after a failed call, want none", got)
	}
	now = now.Add(minBackoff)
	if got, want := len(s.TargetsToProbe(now)), 1; got != want {
		t.Errorf("got %d targets to probe after the back-off, want %d", got, want)
	}
	s.addPieces(4, 250)
	s.StartRound()
	if _, ok := s.NextCall(now, testProfile); ok {
		t.Error("got a call though the target may hold the results of the last one, want none")
	}
	s.RecordSpace(now, testProfile, c.Target, Space{Min: testProfile.ResultSpace, Max: testProfile.ResultSpace})
	if got, want := len(startCall(t, s, now).Pieces), 4; got != want {
		t.Errorf("target has reported its room: got a call of %d pieces, want %d", got, want)
	}
}

// TestRoomIsKeptWhileTargetIsNotUsable guards against a second call beside one that runs, and against results that are no longer counted, when a
// target is out of service for a moment; a restarted target holds none.
func TestRoomIsKeptWhileTargetIsNotUsable(t *testing.T) {
	for _, tt := range []struct {
		name      string
		startedAt int64
		wantHeld  int64
	}{{"same run", 0, 500}, {"restarted", 7, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("t1")
			s.addPieces(2, 250)
			c := startCall(t, s, start)
			s.SetTargets(at(100), nil)
			c.Complete(at(300), testProfile, newReply(c, 2))
			target := c.Target
			target.StartedAt = tt.startedAt
			s.SetTargets(at(400), []registry.Target{target})
			s.TargetsToProbe(at(400))
			s.addPieces(1, 250)
			s.StartRound()
			next, ok := s.NextCall(at(400+60), testProfile)
			if !ok {
				t.Fatal("got no call, want one")
			}
			if next.HeldBytes != tt.wantHeld {
				t.Errorf("got %d bytes held, want %d", next.HeldBytes, tt.wantHeld)
			}
		})
	}
}

// TestReserveChangesNothingWhereNothingWaits guards against changed calls in deployments with spare room: a group that finds a free target is
// called at once, with all its pieces, whatever its start by objective.
func TestReserveChangesNothingWhereNothingWaits(t *testing.T) {
	var calls [2][]string
	for i, startByObjective := range []time.Time{at(60_000), at(100)} {
		s := newTestScheduler("t1", "t2", "t3")
		now := start
		for n := range 20 {
			p := piece(Group{Request: "r", ResultBytes: int64(10 * n), StartByObjective: startByObjective, StartByDeadline: at(90_000), Priority: n % 3})
			s.Add(p, p, p)
			if expired := s.Expire(now, testProfile); len(expired) > 0 {
				t.Fatalf("got %d expired pieces, want none", len(expired))
			}
			c := startCall(t, s, now)
			calls[i] = append(calls[i], fmt.Sprint(c.Target.ID, len(c.Pieces), c.QueueLength, c.Expected))
			now = now.Add(c.Expected)
			reply := newReply(c, len(c.Pieces))
			c.Complete(now, testProfile, reply)
			for _, r := range reply.Results {
				s.ReleaseResults(c.Target.Address, []string{r.Handle})
			}
		}
	}
	if !slices.Equal(calls[0], calls[1]) {
		t.Errorf("got calls %v with the later start and %v with the earlier one, want the same", calls[0], calls[1])
	}
}

// TestLatePiecesWithoutRoomAreRejectedAtOnce replays a burst in which calls have places but targets no room: pieces that can still meet their
// objective take all that is given back. It guards against late pieces that wait until their caller has left.
func TestLatePiecesWithoutRoomAreRejectedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		bytes int64
		want  int
	}{
		{"room for all", 10, 0},
		{"room for those that are on time", 250, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("t1", "t2")
			now := start
			expired := 0
			var late []time.Time
			for round := range 12 {
				s.addPieces(4, tt.bytes)
				if round == 6 {
					for range 4 {
						s.Add(piece(Group{Request: "late", ResultBytes: tt.bytes, StartByObjective: at(1), StartByDeadline: now.Add(6 * time.Second)}))
					}
				}
				for _, p := range s.Expire(now, testProfile) {
					expired++
					if !p.LacksRoom {
						t.Error("got a piece that expired for another reason, want the lack of room")
					}
					late = append(late, now)
				}
				s.StartRound()
				var replies []func()
				for {
					c, ok := s.NextCall(now, testProfile)
					if !ok {
						break
					}
					replies = append(replies, func() {
						r := newReply(c, len(c.Pieces))
						c.Complete(now, testProfile, r)
						if round%2 == 1 {
							for _, x := range r.Results {
								s.ReleaseResults(c.Target.Address, []string{x.Handle})
							}
						}
					})
				}
				now = now.Add(300 * time.Millisecond)
				for _, reply := range replies {
					reply()
				}
			}
			if expired != tt.want {
				t.Errorf("got %d rejected pieces at %v, want %d", expired, late, tt.want)
			}
		})
	}
}
