package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Scenario is how requests arrive and what goes wrong meanwhile.
type Scenario struct {
	Duration time.Duration
	// Bursts multiply the rate of a kind, of all kinds if that is "".
	Bursts []Burst
	// HotShare is the part of a kind's requests that share one prompt part.
	HotShare float64
	HotKind  string
	// RetryShare is the part of refused callers that come back at once and up to Tries times.
	RetryShare float64
	MaxRetries int
	// Slowdown are stage targets that turn slow.
	Slowdown *Slowdown
	// OwnerLossAt is when the node that fills the calls is lost, zero for never; another one starts without its knowledge.
	OwnerLossAt time.Duration
}

// Burst multiplies a rate for a while.
type Burst struct {
	Kind     string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Slowdown has some targets of a service take longer for a while.
type Slowdown struct {
	Service  string
	Targets  int
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

const (
	// swing and period shape the wave of arrivals, clump the size of the groups that come together.
	swing  = 0.15
	period = 11 * time.Second
	clump  = 3.0
	// clumped is the time over which a clump comes.
	clumped = 50 * ms
)

// arrival is one caller's first request.
type arrival struct {
	at     time.Duration
	kind   int
	pieces []int
	part   int
	id     uint64
}

// arrivals draws the requests of a pattern; the same seed gives the same.
func (p Scenario) arrivals(d Deployment, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for k, kind := range d.Kinds {
		for at := time.Duration(0); at < p.Duration; {
			rate := kind.Rate * p.factor(kind.Route.Name, at) / clump
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			for range 1 + r.IntN(int(2*clump)-1) {
				list = append(list, arrival{at: at + rand64(r, clumped), kind: k, pieces: kind.pieces(r), part: p.part(r, kind), id: r.Uint64()})
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

func rand64(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func (p Scenario) factor(kind string, at time.Duration) float64 {
	f := 1 + swing*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	for _, b := range p.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.Start && at < b.Start+b.Duration {
			f *= b.Factor
		}
	}
	return f
}

func (p Scenario) part(r *rand.Rand, k Kind) int {
	if k.Route.Name == p.HotKind && r.Float64() < p.HotShare {
		return 0
	}
	return r.IntN(k.SharedPrefixes)
}

// pieces draws the number of pieces of each stage.
func (k Kind) pieces(r *rand.Rand) []int {
	out := make([]int, len(k.MeanPieces))
	for i, mean := range k.MeanPieces {
		if r.Float64() < k.StageProbability[i] {
			out[i] = max(1, int(math.Round(mean*(0.5+r.Float64()))))
		}
	}
	return out
}
