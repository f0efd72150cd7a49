package simulation

import (
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
)

// KindResult is the result for one kind of request.
type KindResult struct {
	Kind    string `json:"kind"`
	Offered int    `json:"offered"`
	OnTime  int    `json:"aim"`
	Late    int    `json:"late"`
	Failed  int    `json:"failed"`
	// LargestOnTime is the share of the largest tenth of the requests, by pieces, that are answered within their latency objective.
	LargestOnTime float64 `json:"largest"`
	// P50, P95 and P99 are quantiles of the time from the caller's first try to the first event.
	P50       time.Duration `json:"p50"`
	P95       time.Duration `json:"p95"`
	P99       time.Duration `json:"p99"`
	latencies []time.Duration
	// offeredSizes and onTimeSizes have the numbers of pieces of the requests.
	offeredSizes, onTimeSizes []int
}

// Report is the result of a run.
type Report struct {
	Policy Policy       `json:"policy"`
	Seed   uint64       `json:"seed"`
	Kinds  []KindResult `json:"shares"`
	// Credit is the earned part of the value of all offered requests.
	Credit float64 `json:"credit"`
	// StageSeconds is the working time of all stage targets, WastedSeconds the part of it spent on requests that were not
	// answered.
	StageSeconds  float64 `json:"stageseconds"`
	WastedSeconds float64 `json:"wasted"`
	// NoRoom counts the pieces that a call did not make since their results found no room, InputGone those whose input was gone.
	NoRoom    int `json:"noroom"`
	InputGone int `json:"inputgone"`
	// Fill is the used part of the capacity of all batch calls, BackloggedFill that of the calls that started while enough
	// pieces waited to fill them.
	Fill           float64 `json:"fill"`
	BackloggedFill float64 `json:"crowded"`
	// Refused counts refused tries by reason; RefusedP95 is a quantile of the time from the caller's first try to the
	// refusal.
	Refused    map[string]int `json:"refused"`
	Failures   map[string]int `json:"failures"`
	RefusedP95 time.Duration  `json:"refusedp95"`
	// RereadTokens counts the tokens of shared prefixes that the chosen target had not cached; another target might have had
	// them cached.
	RereadTokens int `json:"readagain"`
	// CrossDatacentreBytes counts the bytes of results that were fetched from another data centre.
	CrossDatacentreBytes int64           `json:"crossed"`
	Timeline             []loadgen.Point `json:"timeline"`

	byKind map[string]*KindResult
	// capacity and batchedPieces sum the capacity of batch calls and the pieces in them, over all calls; the other two
	// sum them over calls that started while enough pieces waited to fill them.
	capacity, batchedPieces              int
	backloggedCapacity, backloggedPieces int
	offeredValue                         float64
	earnedValue                          float64
	refusalTimes                         []time.Duration
}

func newReport(cfg Config) *Report {
	r := &Report{Policy: cfg.Policy, Seed: cfg.Seed, byKind: map[string]*KindResult{}, Refused: map[string]int{}, Failures: map[string]int{}}
	for _, k := range cfg.Deployment.Kinds {
		r.byKind[k.Route.Name] = &KindResult{Kind: k.Route.Name}
	}
	return r
}

// timelineStep is the length of one step of the timeline.
const timelineStep = time.Second

func (r *Report) point(at time.Time) *loadgen.Point {
	n := int(at.Sub(startTime) / timelineStep)
	for len(r.Timeline) <= n {
		r.Timeline = append(r.Timeline, loadgen.Point{Second: (time.Duration(len(r.Timeline)) * timelineStep).Seconds()})
	}
	return &r.Timeline[n]
}

func (r *Report) recordOffered(k *Kind, at time.Time, pieces int) {
	x := r.byKind[k.Route.Name]
	x.Offered++
	x.offeredSizes = append(x.offeredSizes, pieces)
	r.offeredValue += k.Value
	r.point(at).Offered++
}

func (r *Report) recordAnswered(k *Kind, now time.Time, latency time.Duration, pieces int) {
	s := r.byKind[k.Route.Name]
	s.latencies = append(s.latencies, latency)
	if latency <= k.Route.LatencyObjective {
		s.OnTime++
		s.onTimeSizes = append(s.onTimeSizes, pieces)
		r.earnedValue += k.Value
		r.point(now.Add(-latency)).Attained++
		return
	}
	s.Late++
	r.earnedValue += k.LateValue
}

// recordCall records a batch call with its pieces and capacity, and the number of pieces that waited when it started.
func (r *Report) recordCall(pieces, capacity, waited int) {
	r.capacity += capacity
	r.batchedPieces += pieces
	if waited >= capacity {
		r.backloggedCapacity += capacity
		r.backloggedPieces += pieces
	}
}

func (r *Report) recordFailed(k *Kind, reason string, spent time.Duration) {
	r.byKind[k.Route.Name].Failed++
	r.Failures[reason]++
	r.WastedSeconds += spent.Seconds()
}

func (r *Report) recordRefused(reason string, after, spent time.Duration) {
	r.Refused[reason]++
	r.WastedSeconds += spent.Seconds()
	r.refusalTimes = append(r.refusalTimes, after)
}

func (r *Report) finish() Report {
	r.Credit = r.earnedValue / max(r.offeredValue, 1)
	r.Fill = float64(r.batchedPieces) / max(float64(r.capacity), 1)
	r.BackloggedFill = float64(r.backloggedPieces) / max(float64(r.backloggedCapacity), 1)
	r.RefusedP95 = quantile(r.refusalTimes, 0.95)
	for _, s := range r.byKind {
		s.P50, s.P95, s.P99 = quantile(s.latencies, 0.5), quantile(s.latencies, 0.95), quantile(s.latencies, 0.99)
		s.LargestOnTime = largestShare(s.offeredSizes, s.onTimeSizes)
		r.Kinds = append(r.Kinds, *s)
	}
	sort.Slice(r.Kinds, func(i, j int) bool { return r.Kinds[i].Kind < r.Kinds[j].Kind })
	return *r
}

// largestShare returns the share of the largest tenth of some sizes that is also in part.
func largestShare(all, part []int) float64 {
	if len(all) == 0 {
		return 0
	}
	sort.Ints(all)
	least := all[len(all)*9/10]
	count := func(list []int) (n int) {
		for _, size := range list {
			if size >= least {
				n++
			}
		}
		return n
	}
	return float64(count(part)) / float64(count(all))
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
