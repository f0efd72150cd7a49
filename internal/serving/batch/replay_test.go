package batch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// replayProfile is the profile of the replayed services.
var replayProfile = route.BatchProfile{MaxSize: 8, CallTime: 120 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultSpace: 1 << 20, ResultTTL: 4 * time.Second}

// replayTarget is a target of a replay. The functions take the time since the start and may be nil.
type replayTarget struct {
	datacentre string
	// factor is how long work takes, relative to the profile.
	factor func(since time.Duration) float64
	// report is the work time that the target reports, relative to its usual one.
	report func(since time.Duration) float64
	// others is the number of full calls of others before each call.
	others func(since time.Duration) int
}

func constant(f float64) func(time.Duration) float64 { return func(time.Duration) float64 { return f } }

// replay runs a scheduler in virtual time, without a network.
type replay struct {
	seed    uint64
	targets []replayTarget
	// rate is the number of groups per second at a time; they arrive for length.
	rate   func(since time.Duration) float64
	length time.Duration
	// tight is the time that urgent groups have for their objective, beyond that of their call.
	tight time.Duration
}

// outcome is what became of the pieces of a replay.
type outcome struct {
	pieces, onTime, late, expired int
	// calls lists the start in ms, the target and the size of each call.
	calls []string
	// callsOf counts the calls of each target.
	callsOf map[string]int
}

func (o outcome) String() string {
	return fmt.Sprintf("%d pieces: %d on time, %d late, %d expired, %d calls", o.pieces, o.onTime, o.late, o.expired, len(o.calls))
}

// replayEvent is the arrival of a group, the end of a call with its reply, or neither if the scheduler is to look again.
type replayEvent struct {
	at    time.Duration
	group *Group
	call  *Call
	reply Reply
}

// run replays the load on a scheduler.
func (r replay) run() outcome {
	rnd := rand.New(rand.NewPCG(r.seed, 1))
	s := NewScheduler()
	var list []registry.Target
	index := map[string]int{}
	for i, t := range r.targets {
		id := fmt.Sprintf("t%02d", i)
		index[id] = i
		list = append(list, registry.Target{ID: id, Address: id + ":1", Datacentre: cmp.Or(t.datacentre, "a"), StartedAt: 1})
	}
	s.SetTargets(start, list)
	for _, t := range s.TargetsToProbe(start) {
		s.RecordSpace(start, replayProfile, t, Space{Min: replayProfile.ResultSpace, Max: replayProfile.ResultSpace})
	}
	var events []replayEvent
	push := func(e replayEvent) {
		i, _ := slices.BinarySearchFunc(events, e, func(a, b replayEvent) int {
			return cmp.Or(cmp.Compare(a.at, b.at), -1)
		})
		events = slices.Insert(events, i, e)
	}
	o := outcome{callsOf: map[string]int{}}
	for at := time.Duration(0); at < r.length; at += time.Duration(rnd.ExpFloat64() / r.rate(at) * float64(time.Second)) {
		g := r.group(rnd, at)
		o.pieces += g.Count
		push(replayEvent{at: at, group: &g})
	}
	groups := uint64(0)
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		now := start.Add(e.at)
		switch {
		case e.group != nil:
			groups++
			for i := range e.group.Count {
				s.Add(Piece{Group: e.group, GroupID: groups, Index: i})
			}
		case e.call != nil:
			e.call.Complete(now, replayProfile, e.reply)
			for i, p := range e.call.Pieces {
				// The latest starts of pieces allow for a call of their group alone.
				if at := p.StartByObjective.Add(replayProfile.CallDuration(p.Count) + networkMargin); now.After(at) {
					o.late++
				} else {
					o.onTime++
				}
				s.ReleaseResults(e.call.Target.Address, []string{e.reply.Results[i].Handle})
			}
		}
		o.expired += len(s.Expire(now, replayProfile))
		s.StartRound()
		for {
			c, ok := s.NextCall(now, replayProfile)
			if !ok {
				break
			}
			o.calls = append(o.calls, fmt.Sprintf("%d %s %d", e.at.Milliseconds(), c.Target.ID, len(c.Pieces)))
			o.callsOf[c.Target.ID]++
			end, reply := r.answer(r.targets[index[c.Target.ID]], e.at, c)
			push(replayEvent{at: end, call: c, reply: reply})
		}
		if at := s.HeldUntil(); !at.IsZero() {
			push(replayEvent{at: at.Sub(start)})
		}
	}
	return o
}

// answer returns when a call ends and the reply to it.
func (r replay) answer(t replayTarget, at time.Duration, c *Call) (time.Duration, Reply) {
	took := time.Duration(float64(replayProfile.CallDuration(len(c.Pieces))) * t.factor(at))
	others := 0
	if t.others != nil {
		others = t.others(at)
		took += time.Duration(float64(others) * t.factor(at) * float64(replayProfile.CallDuration(replayProfile.MaxSize)))
	}
	end := at + took + networkMargin
	reply := newReply(c, len(c.Pieces))
	reply.Running, reply.Slots = others, 1
	if t.report != nil {
		reply.WorkTime = t.report(end)
	}
	return end, reply
}

// group draws a group of an urgent or a patient kind.
func (r replay) group(rnd *rand.Rand, at time.Duration) Group {
	g := Group{Request: fmt.Sprint(at), Count: 1 + rnd.IntN(4), Priority: rnd.IntN(3), ResultBytes: 1000 + rnd.Int64N(20000)}
	tight := r.tight
	if rnd.IntN(3) > 0 {
		tight *= 4
	}
	g.StartByObjective = start.Add(at + tight)
	g.StartByDeadline = g.StartByObjective.Add(2 * time.Second)
	if rnd.IntN(4) == 0 {
		g.PreferredDatacentre, g.TransferBytes = string("ab"[rnd.IntN(2)]), 100_000
		g.PreferUntil = g.StartByObjective.Add(-100 * time.Millisecond)
	}
	return g
}

func joinCalls(o outcome) string { return strings.Join(o.calls, "\n") + "\n" }
