package replay

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
)

// Service is a group of emulated stage targets.
type Service struct {
	Name    string
	Targets int
	Terms   route.Batch
}

// Kind is one kind of request.
type Kind struct {
	Route route.Route
	// Rate is in requests a second.
	Rate float64
	// Mean is the mean number of pieces of each stage, Share how often a stage is not left out, Factor the time of its
	// pieces against that of its service.
	Mean   []float64
	Share  []float64
	Factor []float64
	// Shared and Prompt are tokens; Parts is the number of different shared parts.
	Shared int
	Prompt int
	Parts  int
	// Worth is what an answer in aim is worth, Late what a later one is.
	Worth float64
	Late  float64
}

// Models are the emulated model targets.
type Models struct {
	Targets int
	Slots   int
	// Read is the prompt tokens read in a second, First the time of a request that has none to read.
	Read  float64
	First time.Duration
	// Keep is how long a target remembers a shared part after its last use.
	Keep time.Duration
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

// Batching is a deployment whose stages bind: at its mean load they are half used if every call is full, and several
// times overrun if every piece has a call of its own.
func Batching() Deployment {
	call := 200 * ms
	return Deployment{
		Nodes:       7,
		Datacentres: []string{"a", "b", "c"},
		Services: []Service{
			{Name: "pages", Targets: 5, Terms: route.Batch{Size: 10, Call: call, Piece: 16 * ms, Room: 20 * mb, Keep: 4 * time.Second}},
			{Name: "tables", Targets: 5, Terms: route.Batch{Size: 24, Call: call, Piece: 7 * ms, Room: 4 * mb, Keep: 4 * time.Second}},
			{Name: "terms", Targets: 5, Terms: route.Batch{Size: 60, Call: call, Piece: 3 * ms, Room: mb, Keep: 4 * time.Second}},
		},
		Kinds: []Kind{
			{
				Route: route.Route{Name: "offer", Priority: 1, Aim: 2 * time.Second, Timeout: 8 * time.Second, Attempts: 1, Repeat: route.Stream, Stages: []route.Stage{
					{Service: "pages", Bytes: 1400 * kb}, {Service: "pages", Bytes: 8 * kb}, {Service: "tables", After: []int{1}, Bytes: 60 * kb}, {Service: "terms", After: []int{2}, Bytes: 6 * kb},
				}},
				Rate: 22, Mean: []float64{1.5, 1, 4, 10}, Share: []float64{0.4, 1, 1, 1}, Factor: []float64{1, 0.3, 1, 1},
				Shared: 6000, Prompt: 2900, Parts: 250, Worth: 3, Late: 0.45,
			},
			{
				Route: route.Route{Name: "plan", Priority: 0, Aim: 2 * time.Second, Timeout: 6 * time.Second, Attempts: 2, Repeat: route.Stream, Resumable: true, Stages: []route.Stage{
					{Service: "pages", Bytes: 8 * kb}, {Service: "tables", After: []int{0}, Bytes: 60 * kb}, {Service: "terms", After: []int{1}, Bytes: 6 * kb},
				}},
				Rate: 24, Mean: []float64{1, 4, 10}, Share: []float64{1, 1, 1}, Factor: []float64{0.3, 1, 1},
				Shared: 560, Prompt: 1800, Parts: 190, Worth: 2, Late: 0.3,
			},
			{
				Route: route.Route{Name: "chat", Priority: 2, Aim: time.Second, Timeout: 12 * time.Second, Attempts: 1, Repeat: route.Stream, Stages: []route.Stage{
					{Service: "pages", Bytes: 1400 * kb},
				}},
				Rate: 12, Mean: []float64{2.5}, Share: []float64{0.7}, Factor: []float64{1},
				Shared: 170, Prompt: 540, Parts: 100, Worth: 0.8, Late: 0.12,
			},
		},
		Models: Models{Targets: 18, Slots: 64, Read: 50000, First: 20 * ms, Keep: 10 * time.Second},
	}
}
