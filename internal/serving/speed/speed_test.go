package speed

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

const profileTime = 200 * time.Millisecond

// isNear reports whether two factors differ by less than a share.
func isNear(a, b, share float64) bool { return math.Abs(math.Log(a/b)) < math.Log(1+share) }

// observation is one thing that is learned of a target after a time.
type observation struct {
	after time.Duration
	// report is the work time that the target reports, 0 for none.
	report float64
	// took is the factor of a call's measured time, 0 for none.
	took   float64
	waited bool
}

func replay(s Speed, list ...observation) (Speed, time.Time) {
	now := start
	for _, o := range list {
		now = now.Add(o.after)
		if o.report > 0 {
			s = s.WithReport(now, o.report)
		}
		if o.took > 0 {
			s = s.WithCall(now, Call{Took: time.Duration(o.took * float64(profileTime)), Profile: profileTime, MayHaveWaited: o.waited})
		}
	}
	return s, now
}

func repeat(n int, o observation) []observation { return slices.Repeat([]observation{o}, n) }

// TestPresent covers what a target's reports say of the present: a single one that is old must not keep work from a target, and several that
// agree must.
func TestPresent(t *testing.T) {
	const gap = 300 * time.Millisecond
	usual := repeat(20, observation{after: gap, report: 1, took: 1})
	for _, tt := range []struct {
		name    string
		earlier []observation
		latest  []observation
		age     time.Duration
		// least and most bound the factor of the present.
		least, most float64
	}{
		{"nothing known", nil, nil, 0, 1, 1},
		{"one figure of 250 that is 200 ms old", nil, repeat(1, observation{report: 2.5}), 200 * time.Millisecond, 1.01, 1.25},
		{"the same of a target that worked as usual", usual, repeat(1, observation{after: gap, report: 2.5, took: 1}), 200 * time.Millisecond, 1, 1.1},
		{"three in a row", nil, repeat(3, observation{after: gap, report: 2.5}), 0, 1.6, 2.5},
		{"three in a row, with calls", usual, repeat(3, observation{after: gap, report: 2.5, took: 2.5}), 0, 1.5, 2.5},
		{"three in a row, with calls that show nothing", usual, repeat(3, observation{after: gap, report: 2.5, took: 9, waited: true}), 0, 1.5, 2.5},
		{"three in a row, 200 ms old", nil, repeat(3, observation{after: gap, report: 2.5}), 200 * time.Millisecond, 1.6, 2.5},
		{"three in a row, 6 s old", nil, repeat(3, observation{after: gap, report: 2.5}), 6 * time.Second, 1, 1.05},
		{"each second figure is 250", nil, slices.Concat(repeat(1, observation{after: gap, report: 2.5}), repeat(1, observation{after: gap, report: 1}), repeat(1, observation{after: gap, report: 2.5}), repeat(1, observation{after: gap, report: 1})), 0, 1, 1.6},
		{"one as usual after many of 250", repeat(8, observation{after: gap, report: 2.5, took: 2.5}), repeat(1, observation{after: gap, report: 1, took: 2.5}), 0, 1.5, 2.5},
		{"four as usual after many of 250", repeat(8, observation{after: gap, report: 2.5, took: 2.5}), repeat(4, observation{after: gap, report: 1, took: 1}), 0, 0.9, 1.35},
		{"work is faster than usual", nil, repeat(4, observation{after: gap, report: 0.5}), 0, 0.5, 0.7},
		{"calls alone", usual, repeat(3, observation{after: gap, took: 2.5}), 0, 1.2, 2.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := replay(Speed{}, append(slices.Clone(tt.earlier), tt.latest...)...)
			if got := s.Present(now.Add(tt.age)); got < tt.least-1e-9 || got > tt.most+1e-9 {
				t.Errorf("got %.2f of the usual time, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// TestUsual covers the usual speed of targets: it must be known after a few calls, and neither a stall, a slow period that the target reports
// nor the calls of others may change it.
func TestUsual(t *testing.T) {
	for _, f := range []float64{0.7, 1, 1.3, 1.7} {
		few := repeat(16, observation{after: 300 * time.Millisecond, took: f, report: 1})
		for _, tt := range []struct {
			name   string
			latest []observation
			share  float64
		}{
			{"sixteen calls", nil, 0.06},
			{"a stall", repeat(1, observation{after: 300 * time.Millisecond, took: 10 * f, report: 1}), 0.08},
			{"a slow period of 6 s that is reported", repeat(8, observation{after: 750 * time.Millisecond, took: 2.5 * f, report: 2.5}), 0.15},
			{"calls that waited for others", repeat(30, observation{after: 900 * time.Millisecond, took: 3 * f, report: 1, waited: true}), 0.06},
			{"no calls for an hour", repeat(1, observation{after: time.Hour, report: 1}), 0.06},
		} {
			t.Run(fmt.Sprint(f, " ", tt.name), func(t *testing.T) {
				s, _ := replay(Speed{}, append(slices.Clone(few), tt.latest...)...)
				if got := s.Usual(); !isNear(got, f, tt.share) {
					t.Errorf("got %.2f, want %.2f within %.0f %%", got, f, 100*tt.share)
				}
			})
		}
	}
}

// TestLoadIsNotSlowness covers a target whose calls wait behind those of others: its factor must stay that of the machine, and a call that was
// faster than expected shows it even then.
func TestLoadIsNotSlowness(t *testing.T) {
	s, now := replay(Speed{}, append(repeat(16, observation{after: 300 * time.Millisecond, took: 1.2}), repeat(16, observation{after: 600 * time.Millisecond, took: 2.4, waited: true})...)...)
	if got := s.Factor(now); !isNear(got, 1.2, 0.06) {
		t.Errorf("got factor %.2f for a loaded target, want 1.2", got)
	}
	before := s.Factor(now)
	s, now = replay(s, repeat(64, observation{after: 300 * time.Millisecond, took: 0.8, waited: true})...)
	if got := s.Factor(now); !isNear(got, 0.8, 0.1) || got >= before {
		t.Errorf("got factor %.2f of a target whose calls became faster, want 0.8", got)
	}
}

// TestBasis guards against speeds that are used where targets are alike, and against a basis that changes with each call.
func TestBasis(t *testing.T) {
	learned := func(f float64) Speed {
		s, _ := replay(Speed{}, repeat(200, observation{after: 300 * time.Millisecond, took: f})...)
		return s
	}
	reported, _ := replay(Speed{}, observation{report: 1})
	unsure, _ := replay(Speed{}, repeat(learnedCalls-1, observation{took: 1.7})...)
	for _, tt := range []struct {
		name   string
		last   Basis
		full   time.Duration
		speeds []Speed
		want   Basis
	}{
		{"no targets", None, profileTime, nil, None},
		{"nothing known", None, profileTime, []Speed{{}, {}}, None},
		{"one reports", None, profileTime, []Speed{{}, reported}, Reported},
		{"alike", None, profileTime, []Speed{learned(1), learned(1.2)}, None},
		{"alike but far from the profile", None, profileTime, []Speed{learned(1.7), learned(1.7)}, None},
		{"different", None, profileTime, []Speed{learned(0.9), learned(1.2)}, Learned},
		{"different by too few calls", None, profileTime, []Speed{learned(0.7), unsure}, None},
		{"different by less than the network may take", None, 20 * time.Millisecond, []Speed{learned(0.9), learned(1.2)}, None},
		{"less different than before", Learned, profileTime, []Speed{learned(1), learned(1.2)}, Learned},
		{"no longer different", Learned, profileTime, []Speed{learned(1), learned(1.1)}, None},
		{"the reporting target is gone", Reported, profileTime, []Speed{learned(1)}, None},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := BasisOf(tt.last, tt.full, slices.Values(tt.speeds)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestRange(t *testing.T) {
	slow, now := replay(Speed{}, repeat(200, observation{after: 300 * time.Millisecond, took: 1.7})...)
	if least, greatest := Range(now, slices.Values([]Speed{slow, {}})); least != 1 || !isNear(greatest, 1.7, 0.02) {
		t.Errorf("got %.2f to %.2f, want 1 to 1.7", least, greatest)
	}
	if least, greatest := Range(now, slices.Values([]Speed(nil))); least != 0 || greatest != 0 {
		t.Errorf("got %.2f to %.2f without targets, want 0 to 0", least, greatest)
	}
}

// TestFactorsStayBounded covers any sequence of reports and calls, since reports come from outside.
func TestFactorsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Speed
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, "after")))
			if rapid.Bool().Draw(t, "report") {
				s = s.WithReport(now, rapid.Float64().Draw(t, "factor"))
				continue
			}
			s = s.WithCall(now, Call{
				Took: time.Duration(rapid.Int64().Draw(t, "took")), Profile: time.Duration(rapid.Int64().Draw(t, "profile")), MayHaveWaited: rapid.Bool().Draw(t, "waited"),
			})
		}
		for _, f := range []float64{s.Usual(), s.Factor(now), s.Factor(now.Add(time.Hour))} {
			if !(f > minFactor*minFactor && f < maxFactor*maxFactor) {
				t.Fatalf("got factor %g, want it bounded", f)
			}
		}
		if got := s.Present(now.Add(time.Hour)); !isNear(got, 1, 1e-6) {
			t.Fatalf("got %g of the usual time an hour later, want 1", got)
		}
	})
}

// TestMemory guards against state that grows with the calls of a fleet of 910 targets.
func TestMemory(t *testing.T) {
	if got, want := unsafe.Sizeof(Speed{}), uintptr(160); got > want {
		t.Errorf("got %d bytes for each target, want at most %d", got, want)
	}
}
