package naive

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
)

const (
	maxRetries = 2
	retryDelay = 50 * time.Millisecond
)

// Router is the baseline policy.
type Router struct {
	// Objects returns the current objects.
	Objects      func() release.Set
	backend      *backend.Client
	roundRobin   sync.Map
	requestCount atomic.Uint64
	// Attempts counts the attempts of each stage.
	Attempts sync.Map
}

// New returns a router.
func New(objects func() release.Set) *Router {
	return &Router{Objects: objects, backend: backend.NewClient()}
}

// Call runs the pipeline's stages one after the other.
func (r *Router) Call(ctx context.Context, c loadgen.Call) loadgen.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	set := r.Objects()
	id := fmt.Sprintf("naive-%d", r.requestCount.Add(1))
	prior := map[string]json.RawMessage{}
	var last backend.Complete
	for _, name := range set.Pipelines[c.Pipeline].Stages {
		body, err := json.Marshal(map[string]any{"input": json.RawMessage(`{"order":"` + c.Order + `"}`), "prior": prior})
		if err != nil {
			return loadgen.Answer{Outcome: outcome.KindFailed}
		}
		response, ok := r.runStage(ctx, set, name, id, body)
		if !ok {
			return loadgen.Answer{Outcome: outcome.KindFailed, Reason: outcome.TargetError}
		}
		prior[name] = response.Output
		last = response
	}
	var output struct {
		Order string `json:"order"`
	}
	_ = json.Unmarshal(last.Output, &output)
	return loadgen.Answer{Outcome: outcome.KindAnswered, Order: output.Order, Complete: true}
}

func (r *Router) runStage(ctx context.Context, set release.Set, name, id string, body []byte) (backend.Complete, bool) {
	s := set.Stages[name]
	for n := range maxRetries + 1 {
		address, ok := r.nextTarget(set, s.Pool)
		if !ok {
			return backend.Complete{}, false
		}
		count, _ := r.Attempts.LoadOrStore(name, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout.Duration())
		result := r.backend.Run(callCtx, address, backend.Attempt{
			ID:          fmt.Sprintf("%s/%s/%d", id, name, n),
			Request:     id,
			Stage:       name,
			IdleTimeout: s.IdleTimeout.Duration(),
			Stream:      s.Stream,
			Body:        body,
		}, func(uint64, []byte) error { return nil })
		cancel()
		if response, ok := result.(backend.Complete); ok {
			return response, true
		}
		select {
		case <-ctx.Done():
			return backend.Complete{}, false
		case <-time.After(retryDelay):
		}
	}
	return backend.Complete{}, false
}

// nextTarget returns the address of the next target, round robin over the targets in data centres that are in service.
func (r *Router) nextTarget(set release.Set, pool string) (string, bool) {
	var addresses []string
	for _, t := range set.Pools[pool].Targets {
		if set.Datacentres[t.Datacentre].State == datacentre.InService {
			addresses = append(addresses, t.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	next, _ := r.roundRobin.LoadOrStore(pool, &atomic.Uint64{})
	return addresses[next.(*atomic.Uint64).Add(1)%uint64(len(addresses))], true
}
