package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Scenario describes how requests arrive and which faults occur.
type Scenario struct {
	Duration time.Duration
	// Bursts multiply the rate of a kind, or of all kinds if their Kind is "".
	Bursts []Burst
	// HotShare is the share of HotKind's requests that use the same shared prefix.
	HotShare float64
	HotKind  string
	// RetryShare is the share of callers that retry a refused request at once, up to MaxRetries times.
	RetryShare float64
	MaxRetries int
	// Slowdown slows some stage targets down.
	Slowdown *Slowdown
	// OwnerLossAt is when the node that runs the dispatcher is lost, zero for never; another one starts without its state.
	OwnerLossAt time.Duration
}

// Burst multiplies an arrival rate for some time.
type Burst struct {
	Kind     string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Slowdown multiplies the working time of some targets of a service for some time.
type Slowdown struct {
	Service  string
	Targets  int
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

const (
	// rateAmplitude and ratePeriod shape the sine wave of the arrival rate; meanClusterSize is the mean number of requests
	// that arrive together.
	rateAmplitude   = 0.15
	ratePeriod      = 11 * time.Second
	meanClusterSize = 3.0
	// clusterWindow is the time over which the requests of a cluster arrive.
	clusterWindow = 50 * ms
)

// arrival is one caller's first request.
type arrival struct {
	at          time.Duration
	kindIndex   int
	pieceCounts []int
	prefix      int
	id          uint64
}

// pieces returns the number of pieces of all stages.
func (a arrival) pieces() int {
	n := 0
	for _, count := range a.pieceCounts {
		n += count
	}
	return n
}

// drawArrivals draws the requests of a scenario; the same seed yields the same requests.
func (s Scenario) drawArrivals(d Deployment, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for k, kind := range d.Kinds {
		for at := time.Duration(0); at < s.Duration; {
			rate := kind.Rate * s.rateFactor(kind.Route.Name, at) / meanClusterSize
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			for range 1 + r.IntN(int(2*meanClusterSize)-1) {
				list = append(list, arrival{at: at + randUpTo(r, clusterWindow), kindIndex: k, pieceCounts: kind.drawPieceCounts(r), prefix: s.drawPrefix(r, kind), id: r.Uint64()})
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

func randUpTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func (s Scenario) rateFactor(kind string, at time.Duration) float64 {
	f := 1 + rateAmplitude*math.Sin(2*math.Pi*at.Seconds()/ratePeriod.Seconds())
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.Start && at < b.Start+b.Duration {
			f *= b.Factor
		}
	}
	return f
}

func (s Scenario) drawPrefix(r *rand.Rand, k Kind) int {
	if k.Route.Name == s.HotKind && r.Float64() < s.HotShare {
		return 0
	}
	return r.IntN(k.SharedPrefixes)
}

// drawPieceCounts draws the number of pieces of each stage.
func (k Kind) drawPieceCounts(r *rand.Rand) []int {
	counts := make([]int, len(k.MeanPieces))
	for i, mean := range k.MeanPieces {
		if r.Float64() < k.StageProbability[i] {
			counts[i] = max(1, int(math.Round(mean*(0.5+r.Float64()))))
		}
	}
	return counts
}
