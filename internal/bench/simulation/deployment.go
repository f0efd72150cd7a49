package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Service is a group of emulated stage targets.
type Service struct {
	Name     string
	Targets  int
	Batching route.BatchProfile
}

// Kind is one kind of request.
type Kind struct {
	Route route.Route
	// Rate is in requests a second.
	Rate float64
	// MeanPieces is the mean number of pieces of each stage, Share how often a stage is not left out, Factor the time of its
	// pieces against that of its service.
	MeanPieces       []float64
	StageProbability []float64
	CostFactor       []float64
	// SharedTokens and Prompt are tokens; Parts is the number of different shared parts.
	SharedTokens   int
	UniqueTokens   int
	SharedPrefixes int
	// Value is what an answer in aim is worth, Late what a later one is.
	Value     float64
	LateValue float64
}

// Models are the emulated model targets.
type Models struct {
	Targets int
	Slots   int
	// PrefillRate is the prompt tokens read in a second, First the time of a request that has none to read.
	PrefillRate float64
	BaseLatency time.Duration
	// PrefixTTL is how long a target remembers a shared part after its last use.
	PrefixTTL time.Duration
}

// Deployment is what requests are run against.
type Deployment struct {
	Nodes       int
	Datacentres []string
	Services    []Service
	Kinds       []Kind
	Models      Models
}

const (
	ms = time.Millisecond
	kb = 1 << 10
	mb = 1 << 20
)

// BatchingDeployment is a deployment whose stages bind: at its mean load they are half used if every call is full, and several
// times overrun if every piece has a call of its own.
func BatchingDeployment() Deployment {
	call := 200 * ms
	return Deployment{
		Nodes:       7,
		Datacentres: []string{"a", "b", "c"},
		Services: []Service{
			{Name: "pages", Targets: 5, Batching: route.BatchProfile{MaxSize: 10, CallTime: call, PieceTime: 16 * ms, ResultSpace: 20 * mb, ResultTTL: 4 * time.Second}},
			{Name: "tables", Targets: 5, Batching: route.BatchProfile{MaxSize: 24, CallTime: call, PieceTime: 7 * ms, ResultSpace: 4 * mb, ResultTTL: 4 * time.Second}},
			{Name: "terms", Targets: 5, Batching: route.BatchProfile{MaxSize: 60, CallTime: call, PieceTime: 3 * ms, ResultSpace: mb, ResultTTL: 4 * time.Second}},
		},
		Kinds: []Kind{
			{
				Route: route.Route{Name: "offer", Priority: 1, LatencyObjective: 2 * time.Second, Timeout: 8 * time.Second, MaxAttempts: 1, RetryPolicy: route.Streaming, Stages: []route.Stage{
					{Service: "pages", ResultBytes: 1400 * kb}, {Service: "pages", ResultBytes: 8 * kb}, {Service: "tables", DependsOn: []int{1}, ResultBytes: 60 * kb}, {Service: "terms", DependsOn: []int{2}, ResultBytes: 6 * kb},
				}},
				Rate: 22, MeanPieces: []float64{1.5, 1, 4, 10}, StageProbability: []float64{0.4, 1, 1, 1}, CostFactor: []float64{1, 0.3, 1, 1},
				SharedTokens: 6000, UniqueTokens: 2900, SharedPrefixes: 250, Value: 3, LateValue: 0.45,
			},
			{
				Route: route.Route{Name: "plan", Priority: 0, LatencyObjective: 2 * time.Second, Timeout: 6 * time.Second, MaxAttempts: 2, RetryPolicy: route.Streaming, Resumable: true, Stages: []route.Stage{
					{Service: "pages", ResultBytes: 8 * kb}, {Service: "tables", DependsOn: []int{0}, ResultBytes: 60 * kb}, {Service: "terms", DependsOn: []int{1}, ResultBytes: 6 * kb},
				}},
				Rate: 24, MeanPieces: []float64{1, 4, 10}, StageProbability: []float64{1, 1, 1}, CostFactor: []float64{0.3, 1, 1},
				SharedTokens: 560, UniqueTokens: 1800, SharedPrefixes: 190, Value: 2, LateValue: 0.3,
			},
			{
				Route: route.Route{Name: "chat", Priority: 2, LatencyObjective: time.Second, Timeout: 12 * time.Second, MaxAttempts: 1, RetryPolicy: route.Streaming, Stages: []route.Stage{
					{Service: "pages", ResultBytes: 1400 * kb},
				}},
				Rate: 12, MeanPieces: []float64{2.5}, StageProbability: []float64{0.7}, CostFactor: []float64{1},
				SharedTokens: 170, UniqueTokens: 540, SharedPrefixes: 100, Value: 0.8, LateValue: 0.12,
			},
		},
		Models: Models{Targets: 18, Slots: 64, PrefillRate: 50000, BaseLatency: 20 * ms, PrefixTTL: 10 * time.Second},
	}
}
