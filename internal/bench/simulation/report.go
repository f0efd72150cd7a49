package simulation

import (
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
)

// KindResult is what became of one kind of request.
type KindResult struct {
	Kind    string `json:"kind"`
	Offered int    `json:"offered"`
	OnTime  int    `json:"aim"`
	Late    int    `json:"late"`
	Failed  int    `json:"failed"`
	// P50, P95 and P99 are of the time to the first event, from the caller's first try.
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	times []time.Duration
}

// Report is what came of a run.
type Report struct {
	Policy Policy       `json:"policy"`
	Seed   uint64       `json:"seed"`
	Kinds  []KindResult `json:"shares"`
	// Credit is the part of the worth of all requests that was earned.
	Credit float64 `json:"credit"`
	// StageSeconds are all seconds of stage targets, Wasted those for requests that were not answered.
	StageSeconds  float64 `json:"stageseconds"`
	WastedSeconds float64 `json:"wasted"`
	// Fill is the part of the places of calls that had a piece; Crowded is that while more waited than one call takes.
	Fill           float64 `json:"fill"`
	BackloggedFill float64 `json:"crowded"`
	// Refused counts tries by reason; RefusedP95 is how long after the caller's first try they came.
	Refused    map[string]int `json:"refused"`
	Failures   map[string]int `json:"failures"`
	RefusedP95 time.Duration  `json:"refusedp95"`
	// RereadTokens is the tokens of shared parts that were read though a target may have had them.
	RereadTokens int `json:"readagain"`
	// CrossDatacentreBytes is the bytes of results that were fetched from another data centre.
	CrossDatacentreBytes int64           `json:"crossed"`
	Timeline             []loadgen.Point `json:"timeline"`

	byKind map[string]*KindResult
	// places and taken count the places of calls and the pieces in them, of all calls and of those with more waiting.
	places, taken               int
	crowdedPlaces, crowdedTaken int
	owed                        float64
	earned                      float64
	refusal                     []time.Duration
}

func newReport(cfg Config) *Report {
	r := &Report{Policy: cfg.Policy, Seed: cfg.Seed, byKind: map[string]*KindResult{}, Refused: map[string]int{}, Failures: map[string]int{}}
	for _, k := range cfg.Deployment.Kinds {
		r.byKind[k.Route.Name] = &KindResult{Kind: k.Route.Name}
	}
	return r
}

// step is one step of the timeline.
const step = time.Second

func (r *Report) point(at time.Time) *loadgen.Point {
	n := int(at.Sub(start) / step)
	for len(r.Timeline) <= n {
		r.Timeline = append(r.Timeline, loadgen.Point{Second: (time.Duration(len(r.Timeline)) * step).Seconds()})
	}
	return &r.Timeline[n]
}

func (r *Report) offered(k *Kind, at time.Time) {
	r.byKind[k.Route.Name].Offered++
	r.owed += k.Value
	r.point(at).Offered++
}

func (r *Report) answered(k *Kind, now time.Time, took time.Duration) {
	s := r.byKind[k.Route.Name]
	s.times = append(s.times, took)
	if took <= k.Route.LatencyObjective {
		s.OnTime++
		r.earned += k.Value
		r.point(now.Add(-took)).Attained++
		return
	}
	s.Late++
	r.earned += k.LateValue
}

// call counts a call with its pieces and places, and the pieces that waited before it.
func (r *Report) call(pieces, places, waited int) {
	r.places += places
	r.taken += pieces
	if waited >= places {
		r.crowdedPlaces += places
		r.crowdedTaken += pieces
	}
}

func (r *Report) failed(k *Kind, why string, spent time.Duration) {
	r.byKind[k.Route.Name].Failed++
	r.Failures[why]++
	r.WastedSeconds += spent.Seconds()
}

func (r *Report) refused(why string, after, spent time.Duration) {
	r.Refused[why]++
	r.WastedSeconds += spent.Seconds()
	r.refusal = append(r.refusal, after)
}

func (r *Report) done() Report {
	r.Credit = r.earned / max(r.owed, 1)
	r.Fill = float64(r.taken) / max(float64(r.places), 1)
	r.BackloggedFill = float64(r.crowdedTaken) / max(float64(r.crowdedPlaces), 1)
	r.RefusedP95 = quantile(r.refusal, 0.95)
	for _, s := range r.byKind {
		s.P50, s.P95, s.P99 = quantile(s.times, 0.5), quantile(s.times, 0.95), quantile(s.times, 0.99)
		r.Kinds = append(r.Kinds, *s)
	}
	sort.Slice(r.Kinds, func(i, j int) bool { return r.Kinds[i].Kind < r.Kinds[j].Kind })
	return *r
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
