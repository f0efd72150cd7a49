package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// load is a pattern of responses during a rollout: what a target of either version does to a request at a time since the order.
type load struct {
	name string
	// respond returns whether the response to a request at a target fails and how much longer than usual it takes.
	respond func(r *rand.Rand, at time.Duration, isNew bool, target int, route string) (failed bool, slowdown float64)
	want    BadReason
}

// maxBad is the number of bad responses from which on a version must be left.
const maxBad = 50

// replay plays a rollout of 14 s in which 300 requests/s reach a service with 100 targets, 8 in 100 of them 10 targets of the new
// version, and returns the verdict, when it came and how many bad responses of the new version came before it.
func replay(seed uint64, l load) (v Verdict, at time.Duration, bad int) {
	r := rand.New(rand.NewPCG(seed, 1))
	routes := []string{"letter", "summary", "chat"}
	var sum Sum
	var m marks
	begin := time.Unix(1000, 0)
	for at = 0; at < 10*time.Second; at += judgeInterval {
		for range 60 {
			route := routes[r.IntN(len(routes))]
			isNew := r.Float64() < 0.08
			target := r.IntN(100)
			if isNew {
				target = r.IntN(10)
			}
			failed, slowdown := l.respond(r, at, isNew, target, route)
			took := time.Duration(float64(300*time.Millisecond) * slowdown * (0.6 + r.Float64()))
			key := Key{Route: route}
			if isNew {
				key.Target = fmt.Sprint("n", target)
				if failed || slowdown > 2 {
					bad++
				}
			}
			sum = sum.WithResponse(Response{Key: key, Failed: failed, Took: took})
		}
		now := begin.Add(at)
		if v = Judge(sum, m.earlier(now, sum)); isBad(v) {
			return v, at, bad
		}
	}
	return v, at, bad
}

func isBad(v Verdict) bool {
	_, ok := v.(Bad)
	return ok
}

func fails(r *rand.Rand, share float64) (bool, float64) { return r.Float64() < share, 1 }

// TestJudgesVersionsSideBySide replays what bad versions do, and what happens to good ones at the same time as to the others.
func TestJudgesVersionsSideBySide(t *testing.T) {
	usual := 0.01
	loads := []load{
		{name: "fails at once", want: Failing, respond: func(r *rand.Rand, _ time.Duration, isNew bool, _ int, _ string) (bool, float64) {
			if isNew {
				return fails(r, 0.3)
			}
			return fails(r, usual)
		}},
		{name: "fails after 6 s", want: Failing, respond: func(r *rand.Rand, at time.Duration, isNew bool, _ int, _ string) (bool, float64) {
			if isNew && at >= 6*time.Second {
				return fails(r, 0.4)
			}
			return fails(r, usual)
		}},
		{name: "fails on one route", want: Failing, respond: func(r *rand.Rand, _ time.Duration, isNew bool, _ int, route string) (bool, float64) {
			if isNew && route == "letter" {
				return fails(r, 0.5)
			}
			return fails(r, usual)
		}},
		{name: "slow", want: Slow, respond: func(r *rand.Rand, _ time.Duration, isNew bool, _ int, _ string) (bool, float64) {
			if isNew && r.Float64() < 0.4 {
				return false, 5
			}
			return fails(r, usual)
		}},
		{name: "good", respond: func(r *rand.Rand, _ time.Duration, _ bool, _ int, _ string) (bool, float64) { return fails(r, usual) }},
		{name: "good, both versions fail a part", respond: func(r *rand.Rand, at time.Duration, _ bool, _ int, _ string) (bool, float64) {
			if at > 3*time.Second && at < 7*time.Second {
				return fails(r, 0.25)
			}
			return fails(r, usual)
		}},
		{name: "good, a third of all targets fail a part", respond: func(r *rand.Rand, _ time.Duration, _ bool, target int, _ string) (bool, float64) {
			if target%3 == 0 {
				return fails(r, 0.3)
			}
			return fails(r, usual)
		}},
		{name: "good, one new target fails most", respond: func(r *rand.Rand, _ time.Duration, isNew bool, target int, _ string) (bool, float64) {
			if isNew && target == 4 {
				return fails(r, 0.7)
			}
			return fails(r, usual)
		}},
		{name: "good, a burst slows both", respond: func(r *rand.Rand, at time.Duration, _ bool, _ int, _ string) (bool, float64) {
			if at > 4*time.Second {
				return r.Float64() < usual, 3 + r.Float64()
			}
			return fails(r, usual)
		}},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			for seed := range uint64(12) {
				v, at, bad := replay(seed, l)
				got, isBad := v.(Bad)
				if l.want == "" && isBad {
					t.Errorf("seed %d: got %+v at %s, want no verdict", seed, got, at)
				}
				if l.want != "" && (got.Reason != l.want || bad >= maxBad) {
					t.Errorf("seed %d: got %+v at %s after %d bad responses, want %s after less than %d", seed, v, at, bad, l.want, maxBad)
				}
			}
		})
	}
}

// TestFiftyNodesWithOneFailureEach covers a bad version of which no node sees more than one bad response.
func TestFiftyNodesWithOneFailureEach(t *testing.T) {
	o := Order{Service: "s", Version: "v2", Duration: time.Minute, Created: 5}
	now := time.Unix(1000, 0)
	e := NewEvidence(o)
	for n := range 50 {
		sum := Sum{Requests: 12, Sent: 1}
		for range 11 {
			sum = sum.WithResponse(Response{Key: Key{Route: "chat"}, Took: 100 * time.Millisecond})
		}
		sum = sum.WithResponse(Response{Key: Key{Route: "chat", Target: fmt.Sprint("n", n%8)}, Failed: true})
		if v := Judge(sum, Sum{}); isBad(v) {
			t.Fatalf("got %+v from one failure, want no verdict", v)
		}
		e = e.With(heardReport{Report{Node: fmt.Sprint("node-", n), StartedAt: 1, Order: o, Sum: sum}, now})
		if n == 19 && !isBad(Judge(e.Sum(), Sum{})) {
			t.Errorf("got no verdict after 20 nodes with a failure each, want a bad version")
		}
	}
}
