package rollout

import (
	"math"
	"slices"
	"sort"
	"strings"
)

const (
	// minBad is the number of bad responses, beyond those of the worst targets, below which nothing is concluded.
	minBad = 4
	// minExcess is how much larger than that of other versions the share of failures must be: retries and limits carry the rest.
	minExcess = 0.04
	// minSlowExcess is the same for slow responses, whose share also depends on the load and the cached prompts.
	minSlowExcess = 0.15
	// minRatio is how many times the share of the other versions it must be.
	minRatio = 2
	// maxChance is the probability below which chance does not explain the bad responses. Some hundred comparisons are made in a
	// rollout.
	maxChance = 1e-5
	// slowBands is by how many bands a response time must exceed the median of the other versions to be slow: 2.8 times.
	slowBands = 3
	// manyFailures is the number of failures from which on those of the worst targets count too: the bound on exposure counts
	// them all.
	manyFailures = 30
)

// Verdict is what the evidence says about the new version.
type Verdict interface{ verdict() }

// Undecided is the verdict as long as nothing speaks against the version.
type Undecided struct {
	// Responses is the number of responses of the version so far.
	Responses int
}

// Bad is the verdict on a version whose responses are worse than those of the other versions, side by side.
type Bad struct {
	Reason BadReason
	Route  string
	// Bad is the number of bad ones among the version's Responses; OldShare is the share of such responses of other versions.
	Bad, Responses int
	OldShare       float64
}

func (Undecided) verdict() {}
func (Bad) verdict()       {}

// BadReason is why a version is bad.
type BadReason string

// The reasons.
const (
	Failing BadReason = "failing"
	Slow    BadReason = "slow"
)

// Judge compares the responses of the new version with those of the other versions on the same routes, both as a whole and
// by what has been counted since an earlier sum, so that a version that turns bad later does not hide behind its good start.
//
// Load: single targets of both versions crash, fail a part of their requests or are slow. The worst fifth of the new version's targets
// is left out, and what happens to the other versions too is no evidence.
func Judge(total, earlier Sum) Verdict {
	for _, s := range []Sum{total, total.Since(earlier)} {
		if v, isBad := judgeSum(s); isBad {
			return v
		}
	}
	return Undecided{Responses: total.responses()}
}

// side is the responses of both versions on a route.
type side struct {
	old Counts
	new []Counts
}

func judgeSum(s Sum) (Bad, bool) {
	routes := map[string]side{}
	var all side
	for k, c := range s.Counts {
		r := routes[k.Route]
		if k.Target == "" {
			r.old = r.old.plus(c)
			all.old = all.old.plus(c)
		} else {
			r.new = append(r.new, c)
		}
		routes[k.Route] = r
	}
	all.new = byTarget(s.Counts)
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if v, isBad := routes[name].judge(); isBad {
			v.Route = name
			return v, true
		}
	}
	// Response times differ by route, so that only failures can be compared over all routes.
	if v, isBad := all.judgeFailures(); isBad {
		v.Route = strings.Join(names, ",")
		return v, true
	}
	return Bad{}, false
}

func byTarget(counts map[Key]Counts) []Counts {
	targets := map[string]Counts{}
	for k, c := range counts {
		if k.Target != "" {
			targets[k.Target] = targets[k.Target].plus(c)
		}
	}
	list := make([]Counts, 0, len(targets))
	for _, c := range targets {
		list = append(list, c)
	}
	return list
}

func (s side) judge() (Bad, bool) {
	if v, isBad := s.judgeFailures(); isBad {
		return v, true
	}
	return s.judgeTimes()
}

func (s side) judgeFailures() (Bad, bool) {
	failures := func(c Counts) int { return c.Failures }
	old := ratio{s.old.Failures, s.old.Responses}
	if all := sumRatios(s.new, failures, responses, 0); all.bad >= manyFailures && all.exceeds(old, minExcess) {
		return Bad{Reason: Failing, Bad: all.bad, Responses: all.of, OldShare: old.share()}, true
	}
	r := sumRatios(s.new, failures, responses, worst(len(s.new)))
	return Bad{Reason: Failing, Bad: r.bad, Responses: r.of, OldShare: old.share()}, r.exceeds(old, minExcess)
}

func (s side) judgeTimes() (Bad, bool) {
	median, ok := medianBand(s.old)
	if !ok {
		return Bad{}, false
	}
	slow := func(c Counts) int {
		n := 0
		for i := median + slowBands; i < bands; i++ {
			n += c.Times[i]
		}
		return n
	}
	old := ratio{slow(s.old), timed(s.old)}
	r := sumRatios(s.new, slow, timed, worst(len(s.new)))
	return Bad{Reason: Slow, Bad: r.bad, Responses: r.of, OldShare: old.share()}, r.exceeds(old, minSlowExcess)
}

func responses(c Counts) int { return c.Responses }

// timed returns the number of responses with a response time.
func timed(c Counts) int {
	n := 0
	for _, t := range c.Times {
		n += t
	}
	return n
}

// minTimed is the number of responses from which on the median of the other versions is known.
const minTimed = 20

// medianBand returns the band of the median response time.
func medianBand(c Counts) (int, bool) {
	n := timed(c)
	if n < minTimed {
		return 0, false
	}
	seen := 0
	for i, t := range c.Times {
		seen += t
		if 2*seen >= n {
			return i, true
		}
	}
	return 0, false
}

// worst returns how many of n targets are left out.
func worst(n int) int {
	if n < 2 {
		return 0
	}
	return (n + 4) / 5
}

// ratio is a number of bad responses of all responses.
type ratio struct{ bad, of int }

func (r ratio) share() float64 {
	if r.of == 0 {
		return 0
	}
	return float64(r.bad) / float64(r.of)
}

// sumRatios adds up the ratios of targets, without those with the most bad responses.
func sumRatios(list []Counts, bad, of func(Counts) int, leftOut int) ratio {
	ratios := make([]ratio, 0, len(list))
	for _, c := range list {
		ratios = append(ratios, ratio{bad(c), of(c)})
	}
	slices.SortFunc(ratios, func(a, b ratio) int { return b.bad - a.bad })
	var sum ratio
	for _, r := range ratios[leftOut:] {
		sum.bad += r.bad
		sum.of += r.of
	}
	return sum
}

// exceeds reports whether the share is larger than another by more than chance explains.
func (r ratio) exceeds(old ratio, excess float64) bool {
	if r.bad < minBad {
		return false
	}
	// A few responses of the other versions say little about their share.
	expected := float64(old.bad+1) / float64(old.of+20)
	return r.share() >= max(expected+excess, minRatio*expected) && chance(r.bad, r.of, expected) < maxChance
}

// chance returns the probability that at least bad of n responses are bad, where each is with probability p.
func chance(bad, n int, p float64) float64 {
	if bad <= 0 || p >= 1 {
		return 1
	}
	logFactorial := func(n int) float64 {
		v, _ := math.Lgamma(float64(n + 1))
		return v
	}
	sum := 0.0
	for k := bad; k <= n; k++ {
		term := math.Exp(logFactorial(n) - logFactorial(k) - logFactorial(n-k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return min(1, sum)
}
