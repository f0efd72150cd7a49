package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drive sends requests at a steady rate, each at the next node that runs.
func (f *modelFleet) drive(interval, patience time.Duration) {
	for i := 0; time.Duration(i)*interval < modelLength; i++ {
		f.at(modelStart.Add(time.Duration(i)*interval), func() {
			n := f.nodes[i%len(f.nodes)]
			f.after(0, n, func() { f.request(n, patience) })
		})
	}
}

// disrupt draws a series of disruptions of nodes that overlap.
func (f *modelFleet) disrupt(t *rapid.T) {
	for i := range rapid.IntRange(0, 6).Draw(t, "disruptions") {
		n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
		at := time.Duration(rapid.IntRange(0, 15000).Draw(t, "at ms")) * time.Millisecond
		length := time.Duration(rapid.IntRange(100, 4000).Draw(t, "for ms")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"kill", "stop", "freeze", "cut", "join"}).Draw(t, "kind")
		f.at(modelStart.Add(at), func() { f.disruptNode(n, kind, length, i) })
	}
}

func (f *modelFleet) disruptNode(n *modelNode, kind string, length time.Duration, i int) {
	if !n.isUp || n.isCut {
		return
	}
	switch kind {
	case "kill", "stop":
		f.stop(n, kind == "stop")
		f.at(f.now.Add(length), func() { f.start(n) })
	case "freeze":
		n.frozenUntil = f.now.Add(length)
		f.excuse(n, length+contactTime)
	case "cut":
		n.isCut = true
		f.excuse(n, length+contactTime)
		f.at(f.now.Add(length), func() { n.isCut = false })
	case "join":
		added := &modelNode{name: fmt.Sprintf("x-%02d", i)}
		f.nodes = append(f.nodes, added)
		f.start(added)
	}
}

// drawLimits draws a series of limits from 0.1 to 100 a second, with times without one.
func drawLimits(t *rapid.T) []limitChange {
	var list []limitChange
	for at := 0; at < 15000; at += rapid.IntRange(700, 9000).Draw(t, "next ms") {
		perSecond := math.Pow(10, rapid.Float64Range(-1, 2).Draw(t, "limit"))
		if len(list) > 0 && rapid.IntRange(0, 4).Draw(t, "none") == 0 {
			perSecond = 0
		}
		list = append(list, limitChange{at: time.Duration(at) * time.Millisecond, perSecond: perSecond})
	}
	return list
}

// TestFleetKeepsLimits covers fleets whose nodes start, stop, freeze, are cut off and see different lists while the limit of a
// target changes: the bound holds in every window, and the fleet uses most of the limit while nothing disturbs it.
func TestFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 6, 8, 60}).Draw(t, "nodes")
		delayMS, lagMS := rapid.IntRange(1, 20).Draw(t, "delay"), rapid.IntRange(0, 900).Draw(t, "lag")
		spread := 0
		delay := func() time.Duration {
			spread++
			return time.Duration(1+spread%delayMS) * time.Millisecond
		}
		lag := func() time.Duration {
			spread++
			return time.Duration(spread*137%(lagMS+1)) * time.Millisecond
		}
		f := newModelFleet(size, drawLimits(t), delay, lag)
		f.drive(time.Second/time.Duration(rapid.IntRange(5, 150).Draw(t, "rate")), time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience"))*time.Millisecond)
		f.disrupt(t)
		f.run(modelStart.Add(modelLength))
		if excess, text := f.worstWindow(); excess > 0 {
			t.Errorf("got %s; limits %v", text, f.limits)
		}
	})
}

// TestFleetUsesMostOfLimit covers steady limits below and above the number of nodes, under several times the load that they
// allow, of requests that wait, that are rejected, and that go elsewhere.
func TestFleetUsesMostOfLimit(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 60, 340} {
		for _, perSecond := range []float64{0.1, 1, 2, 4, 20, 100} {
			for _, load := range []struct {
				name      string
				patience  time.Duration
				elsewhere bool
				maxDelay  int
			}{{name: "rejected", maxDelay: 5}, {name: "waiting", patience: 500 * time.Millisecond, maxDelay: 5}, {name: "elsewhere", elsewhere: true, maxDelay: 5}, {name: "elsewhere, slowly", elsewhere: true, maxDelay: 40}} {
				if load.elsewhere && (size > 8 || perSecond > 20) {
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, %v a second, %s", size, perSecond, load.name), func(t *testing.T) {
					t.Parallel()
					i := 0
					delay := func() time.Duration {
						i++
						return time.Duration(1+i*7%load.maxDelay) * time.Millisecond
					}
					f := newModelFleet(size, []limitChange{{perSecond: perSecond}}, delay, delay)
					f.elsewhere = load.elsewhere
					f.drive(time.Duration(float64(time.Second)/max(40, 4*perSecond)), load.patience)
					f.run(modelStart.Add(modelLength))
					if excess, text := f.worstWindow(); excess > 0 {
						t.Errorf("got %s", text)
					}
					got := 0
					for _, a := range f.arrivals {
						if a.at.After(modelStart.Add(contactTime)) {
							got++
						}
					}
					if want := 0.8 * perSecond * (modelLength - contactTime).Seconds(); float64(got) < want {
						t.Errorf("got %d requests in %s at a limit of %v a second, want at least %.1f", got, modelLength-contactTime, perSecond, want)
					}
				})
			}
		}
	}
}

// allowed returns how many requests the limits allow from a time on.
func (f *modelFleet) allowed(from, until time.Time) float64 {
	sum := 0.0
	const step = 10 * time.Millisecond
	for at := from; at.Before(until); at = at.Add(step) {
		sum += f.limitAt(at) * step.Seconds()
	}
	return sum
}

// countedFrom returns from when requests count in the series of limits that holds at a time.
func (f *modelFleet) countedFrom(at time.Time) time.Time {
	from, wasNone := modelStart.Add(contactTime), true
	for _, c := range f.limits {
		if modelStart.Add(c.at).After(at) {
			break
		}
		if c.perSecond > 0 && wasNone {
			from = modelStart.Add(c.at + contactTime)
		}
		wasNone = c.perSecond == 0
	}
	return from
}
