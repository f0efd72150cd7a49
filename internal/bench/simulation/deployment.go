package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Service describes a service with its emulated stage targets.
type Service struct {
	Name     string
	Targets  int
	Batching route.BatchProfile
}

// Kind is one kind of request.
type Kind struct {
	Route route.Route
	// Rate is in requests per second.
	Rate float64
	// MeanPieces is the mean number of pieces of each stage, StageProbability the probability that a stage is part of a
	// request, and CostFactor the time of a stage's pieces relative to the service's piece time.
	MeanPieces       []float64
	StageProbability []float64
	CostFactor       []float64
	// SharedTokens and UniqueTokens are prompt tokens; SharedPrefixes is the number of distinct shared prefixes.
	SharedTokens   int
	UniqueTokens   int
	SharedPrefixes int
	// Value is the worth of an answer within the latency objective, LateValue that of a later one.
	Value     float64
	LateValue float64
}

// Models describes the emulated model targets.
type Models struct {
	Targets int
	Slots   int
	// PrefillRate is in prompt tokens per second; BaseLatency is the latency of a request without tokens to prefill.
	PrefillRate float64
	BaseLatency time.Duration
	// PrefixTTL is how long a target caches a shared prefix after its last use.
	PrefixTTL time.Duration
}

// Deployment describes the nodes, services, model targets and kinds of request of a simulation.
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

// BatchingDeployment returns a deployment whose stages are the bottleneck: at its mean load they are half utilised if every
// batch call is full, and overloaded several times over if every piece is sent in a call of its own.
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
