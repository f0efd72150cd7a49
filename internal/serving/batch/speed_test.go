package batch

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/speed"
)

var updateCalls = flag.Bool("update.calls", false, "write testdata/calls_without_speed.txt")

// alikeReplay has targets that are alike within a factor of 1.22 and report no work time. One of them takes five times as long for a second.
func alikeReplay() replay {
	r := replay{seed: 1, length: 12 * time.Second, tight: 300 * time.Millisecond, rate: func(since time.Duration) float64 {
		if since > 6*time.Second && since < 8*time.Second {
			return 130
		}
		return 50
	}}
	for i, f := range []float64{0.9, 0.95, 1, 1.05, 1.1, 1} {
		r.targets = append(r.targets, replayTarget{datacentre: string("ab"[i%2]), factor: func(since time.Duration) float64 {
			if i == 2 && since > 8*time.Second && since < 9*time.Second {
				return 5
			}
			return f
		}})
	}
	return r
}

// TestAlikeTargetsAreServedAsWithoutSpeeds guards against other decisions where the targets neither report a work time nor differ clearly:
// testdata/calls_without_speed.txt has the calls of the scheduler before it knew of speeds.
func TestAlikeTargetsAreServedAsWithoutSpeeds(t *testing.T) {
	const path = "testdata/calls_without_speed.txt"
	o := alikeReplay().run()
	t.Log(o)
	got := joinCalls(o)
	if *updateCalls {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got calls that differ from those in %s", path)
	}
}

// newBurst returns a burst of 2.3 times the usual load for targets of 0.7 to 1.7 times the profile's time.
func newBurst(change func(i int, t *replayTarget)) replay {
	r := replay{length: 20 * time.Second, tight: 50 * time.Millisecond}
	capacity := 0.0
	for i := range 15 {
		f := 0.7 + float64(i)/14
		x := replayTarget{datacentre: string("ab"[i%2]), factor: constant(f)}
		change(i, &x)
		r.targets = append(r.targets, x)
		capacity += float64(replayProfile.MaxSize) / f / replayProfile.CallDuration(replayProfile.MaxSize).Seconds()
	}
	// A group has 2.5 pieces in the mean.
	usual := 0.7 * capacity / 2.5 / 1.4
	r.rate = func(since time.Duration) float64 {
		if since > 12*time.Second && since < 18*time.Second {
			return 2.3 * usual
		}
		return usual
	}
	return r
}

// slowPeriod returns 2.5 in a period of 2 s of each 16 s, another one for each target, and 1 otherwise.
func slowPeriod(i int, since time.Duration) float64 {
	if (int(since/(2*time.Second))+i)%8 == 0 {
		return 2.5
	}
	return 1
}

// TestBurstAtUnequalTargets replays a burst at targets whose speeds differ. least is a share of pieces that are on time which the scheduler
// does not reach if it takes all targets for alike; without is what it reached so.
func TestBurstAtUnequalTargets(t *testing.T) {
	for _, tt := range []struct {
		name           string
		change         func(i int, t *replayTarget)
		without, least float64
	}{
		{"nothing reported", func(int, *replayTarget) {}, 0.580, 0.64},
		{"usual speed reported", func(_ int, t *replayTarget) { t.report = constant(1) }, 0.580, 0.64},
		{"momentary figures of 250", func(i int, t *replayTarget) {
			t.report = func(since time.Duration) float64 {
				if (int(since/(50*time.Millisecond))+i)%10 == 0 {
					return 2.5
				}
				return 1
			}
		}, 0.580, 0.63},
		{"slow periods that are reported", func(i int, t *replayTarget) {
			usual := t.factor(0)
			t.factor = func(since time.Duration) float64 { return usual * slowPeriod(i, since) }
			t.report = func(since time.Duration) float64 { return slowPeriod(i, since) }
		}, 0.445, 0.55},
		{"slow periods that are not reported", func(i int, t *replayTarget) {
			usual := t.factor(0)
			t.factor = func(since time.Duration) float64 { return usual * slowPeriod(i, since) }
		}, 0.445, 0.55},
		{"calls of others at two targets", func(i int, t *replayTarget) {
			if i%8 == 0 {
				t.others = func(time.Duration) int { return 1 }
			}
		}, 0.484, 0.53},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := newBurst(tt.change).run()
			got := float64(o.onTime) / float64(o.pieces)
			t.Logf("%.3f of the pieces on time", got)
			if got < tt.least {
				t.Errorf("got %.3f of the pieces on time, want at least %.3f (%.3f with targets taken for alike)", got, tt.least, tt.without)
			}
		})
	}
}

// learn runs calls at the targets of a scheduler until their speeds are known, and returns the time of the end. factors are by target.
func learn(t *testing.T, s *Scheduler, factors map[string]float64) time.Time {
	t.Helper()
	now := start
	for range 4 * 12 {
		for id := range factors {
			s.addPieces(4, 1)
			c := startCallAt(t, s, now, id)
			finishCall(s, c, now.Add(time.Duration(factors[id]*float64(testProfile.CallDuration(len(c.Pieces))))+networkMargin), Reply{})
		}
		now = now.Add(4 * testProfile.CallDuration(4))
	}
	return now
}

// startCallAt starts a call at one target, which the others do not compete for.
func startCallAt(t *testing.T, s *Scheduler, now time.Time, id string) *Call {
	t.Helper()
	for other, st := range s.targets {
		if other != id {
			st.pausedUntil = now.Add(time.Nanosecond)
		}
	}
	defer s.SetPauses(nil)
	c := startCall(t, s, now)
	if c.Target.ID != id {
		t.Fatalf("got a call at target %q, want %q", c.Target.ID, id)
	}
	return c
}

// finishCall ends a call with all results and the load of a reply, and releases the results.
func finishCall(s *Scheduler, c *Call, now time.Time, load Reply) {
	r := newReply(c, len(c.Pieces))
	r.Running, r.Waiting, r.Slots, r.WorkTime = load.Running, load.Waiting, load.Slots, load.WorkTime
	c.Complete(now, testProfile, r)
	for _, x := range r.Results {
		s.ReleaseResults(c.Target.Address, []string{x.Handle})
	}
}

// TestTargetThatFinishesFirst covers the choice between a target that takes half as long as another one and that one.
func TestTargetThatFinishesFirst(t *testing.T) {
	for _, tt := range []struct {
		name string
		// pieces wait when the fast target has been busy for a time, 0 if it is idle.
		pieces int
		busy   time.Duration
		// held are the bytes of results at the fast target.
		held int64
		want string
	}{
		{"both idle", 1, 0, 0, "fast"},
		{"both idle, results at the fast one", 1, 0, 500, "fast"},
		{"the fast one ends first although it is busy", 4, 140 * time.Millisecond, 0, ""},
		{"more pieces than the fast one can take first", 12, 140 * time.Millisecond, 0, "slow"},
		{"the fast one has just begun", 4, time.Millisecond, 0, "slow"},
		{"the fast one takes longer than expected", 4, 300 * time.Millisecond, 0, "slow"},
		{"the fast one has no space for more results", 4, 140 * time.Millisecond, 900, "slow"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("fast", "slow")
			now := learn(t, s, map[string]float64{"fast": 0.8, "slow": 1.6})
			if tt.busy > 0 {
				s.addPieces(4, 25)
				startCallAt(t, s, now, "fast")
				now = now.Add(tt.busy)
			}
			s.targets["fast"].heldBytes += tt.held
			s.addPieces(tt.pieces, 1)
			s.StartRound()
			c, ok := s.NextCall(now, testProfile)
			got := ""
			if ok {
				got = c.Target.ID
			}
			if got != tt.want {
				t.Errorf("got a call at target %q, want %q", got, tt.want)
			}
			if held := !s.HeldUntil().IsZero(); held != (tt.want == "") {
				t.Errorf("got a time to look again %t, want %t", held, tt.want == "")
			}
		})
	}
}

// TestCallSize covers calls whose most urgent piece has little time left.
func TestCallSize(t *testing.T) {
	profile := testProfile
	profile.CallTime, profile.PieceTime = 60*time.Millisecond, 40*time.Millisecond
	for _, tt := range []struct {
		name string
		// left is the time until the latest start of the urgent piece's call, if that is made alone at a target as the profile says.
		left   time.Duration
		factor float64
		others int
		want   int
	}{
		{"enough time", time.Second, 1.6, 1, 4},
		{"time for three pieces", 230 * time.Millisecond, 1.6, 1, 3},
		{"time for one piece, many others wait", 70 * time.Millisecond, 1.6, 12, 4},
		{"time for three pieces, many others wait", 230 * time.Millisecond, 1.6, 12, 3},
		{"no time for any", -50 * time.Millisecond, 1.6, 1, 4},
		{"fast enough for all", 100 * time.Millisecond, 0.8, 1, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("t1")
			now := learn(t, s, map[string]float64{"t1": tt.factor})
			s.basis = "learned"
			s.waiting.Add(piece(Group{Count: 1, ResultBytes: 1, StartByObjective: now.Add(tt.left), StartByDeadline: now.Add(time.Minute)}))
			s.addPieces(3+tt.others, 1)
			if got := min(4, s.callSize(now, profile, s.targets["t1"], 1)); got != tt.want {
				t.Errorf("got a call of %d pieces, want %d", got, tt.want)
			}
		})
	}
}

// TestSpeedEndsWithRun guards against the speed of an earlier run of a target, which may have been on another machine.
func TestSpeedEndsWithRun(t *testing.T) {
	s := newTestScheduler("t1")
	now := learn(t, s, map[string]float64{"t1": 1.6})
	target := s.targets["t1"].target
	s.SetTargets(now, []registry.Target{target})
	if got := s.targets["t1"].speed.Usual(); got < 1.5 {
		t.Errorf("got factor %.2f for the same run, want 1.6", got)
	}
	target.StartedAt++
	s.SetTargets(now, []registry.Target{target})
	if got := s.targets["t1"].speed; got != (speed.Speed{}) {
		t.Errorf("got factor %.2f for a new run, want nothing known", got.Usual())
	}
	s.SetTargets(now, nil)
	if least, greatest := s.SpeedRange(now); least != 0 || greatest != 0 {
		t.Errorf("got factors %.2f to %.2f without targets, want none", least, greatest)
	}
}

// TestLoadedTargetIsNotSlow covers a target whose calls wait for those of others: pieces go to another one while that is so, and the target
// is used again as before once the others have left.
func TestLoadedTargetIsNotSlow(t *testing.T) {
	s := newTestScheduler("loaded", "other", "slow")
	now := learn(t, s, map[string]float64{"loaded": 0.8, "other": 1, "slow": 1.6})
	choose := func() string {
		s.waiting = Queue{}
		s.addPieces(2, 1)
		s.StartRound()
		idle, n := s.nextTarget(now, testProfile)
		if n != 3 || idle == nil {
			t.Fatalf("got %d idle targets, want 3", n)
		}
		s.waiting = Queue{}
		return idle.target.ID
	}
	if got, want := choose(), "loaded"; got != want {
		t.Fatalf("got target %q before the load, want %q", got, want)
	}
	for range 6 {
		s.addPieces(4, 1)
		c := startCallAt(t, s, now, "loaded")
		now = now.Add(3 * testProfile.CallDuration(4))
		finishCall(s, c, now, Reply{Running: 1, Waiting: 1, Slots: 1})
	}
	if got, want := choose(), "other"; got != want {
		t.Errorf("got target %q under load, want %q", got, want)
	}
	if got := s.targets["loaded"].speed.Factor(now); got > 0.9 {
		t.Errorf("got factor %.2f for a loaded target, want 0.8", got)
	}
	now = now.Add(sharedPeriod)
	if got, want := choose(), "loaded"; got != want {
		t.Errorf("got target %q after the load, want %q", got, want)
	}
}

// TestReportChangesChoice covers what a target reports of the present: a single figure of 250 is not enough to leave a clearly faster target,
// three in a row are.
func TestReportChangesChoice(t *testing.T) {
	for _, tt := range []struct {
		name    string
		figures []float64
		age     time.Duration
		want    string
	}{
		{"as usual", []float64{1, 1, 1}, 0, "fast"},
		{"one of 250, 200 ms old", []float64{1, 1, 2.5}, 200 * time.Millisecond, "fast"},
		{"three of 250", []float64{2.5, 2.5, 2.5}, 0, "slow"},
		{"three of 250, long ago", []float64{2.5, 2.5, 2.5}, 8 * time.Second, "fast"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestScheduler("fast", "slow")
			now := learn(t, s, map[string]float64{"fast": 0.9, "slow": 1.3})
			for _, f := range tt.figures {
				s.addPieces(4, 1)
				c := startCallAt(t, s, now, "fast")
				took := time.Duration(0.9 * f * float64(testProfile.CallDuration(4)))
				now = now.Add(took + networkMargin)
				finishCall(s, c, now, Reply{WorkTime: f})
			}
			now = now.Add(tt.age)
			s.addPieces(2, 1)
			if got := startCall(t, s, now).Target.ID; got != tt.want {
				t.Errorf("got target %q, want %q", got, tt.want)
			}
		})
	}
}

// TestLimitedTargetsTakeCallsByTheirGrants guards against pieces that wait for a faster target while a grant is lost.
func TestLimitedTargetsTakeCallsByTheirGrants(t *testing.T) {
	s := newTestScheduler("fast", "slow")
	now := learn(t, s, map[string]float64{"fast": 0.8, "slow": 1.6})
	s.SetLimits(map[string]Limit{"slow": {Interval: time.Second}})
	s.RecordGrant(now, s.targets["slow"].target)
	s.targets["slow"].slowRatio = 1
	s.addPieces(1, 1)
	if got, want := startCall(t, s, now).Target.ID, "slow"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	if got := s.SpeedBasis(); got != speed.None {
		t.Errorf("got basis %q, want none", got)
	}
}

// TestWaitIsBounded guards against an expected time that a report, or the lack of one, makes endless: the dispatcher would wait for it.
func TestWaitIsBounded(t *testing.T) {
	full := testProfile.CallDuration(testProfile.MaxSize)
	for _, tt := range []struct {
		name string
		load *Reply
		age  time.Duration
		want time.Duration
	}{
		{"nothing reported", nil, 0, 0},
		{"no load header", &Reply{}, 0, 0},
		{"others in other slots", &Reply{Running: 3, Slots: 8}, 0, 0},
		{"one other", &Reply{Running: 1, Slots: 1}, 0, full},
		{"one other, half a second ago", &Reply{Running: 1, Slots: 1}, sharedPeriod / 2, full / 2},
		{"one other, long ago", &Reply{Running: 1, Slots: 1}, time.Hour, 0},
		{"a clock that went back", &Reply{Running: 1, Slots: 1}, -time.Hour, full},
		{"a million others", &Reply{Running: 1 << 20, Waiting: 1 << 20, Slots: 1}, 0, maxQueued * full},
	} {
		t.Run(tt.name, func(t *testing.T) {
			st := &targetState{}
			now := start
			if tt.load != nil {
				s := newTestScheduler("t1")
				s.addPieces(4, 1)
				c := startCall(t, s, now)
				now = now.Add(full + networkMargin)
				finishCall(s, c, now, *tt.load)
				st = s.targets["t1"]
			}
			got := st.wait(now.Add(tt.age), testProfile)
			if d := got - tt.want; d < -time.Microsecond || d > time.Microsecond {
				t.Errorf("got a wait of %s, want %s", got, tt.want)
			}
		})
	}
}

// TestProfileWithoutTime guards against a configuration that names no time for calls, by which the time that is left would be divided.
func TestProfileWithoutTime(t *testing.T) {
	profile := testProfile
	profile.CallTime, profile.PieceTime = 0, 0
	s := newTestScheduler("busy", "idle")
	s.basis = speed.Reported
	for _, st := range s.targets {
		st.speed = st.speed.WithReport(start, 1)
	}
	s.targets["busy"].busy, s.targets["busy"].freeAt = true, start.Add(time.Millisecond)
	s.addPieces(2, 1)
	if got := s.isTakenBefore(start, start.Add(time.Hour), profile); !got {
		t.Error("got pieces not taken within an hour by calls that take no time, want them taken")
	}
	s.StartRound()
	if c, ok := s.NextCall(start, profile); !ok || c.Target.ID != "idle" {
		t.Error("got no call at the idle target, want one")
	}
}
