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
	retries = 2
	retryIn = 50 * time.Millisecond
)

// Router is the baseline policy.
type Router struct {
	// Objects gives the objects in force.
	Objects func() release.Set
	backend *backend.Client
	turns   sync.Map
	count   atomic.Uint64
	// Attempts counts the sends by stage.
	Attempts sync.Map
}

// New makes a router.
func New(set func() release.Set) *Router {
	return &Router{Objects: set, backend: backend.NewClient()}
}

// Call runs the pipeline's stages one after the other.
func (r *Router) Call(ctx context.Context, c loadgen.Call) loadgen.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	set := r.Objects()
	id := fmt.Sprintf("naive-%d", r.count.Add(1))
	prior := map[string]json.RawMessage{}
	var last backend.Complete
	for _, name := range set.Pipelines[c.Pipeline].Stages {
		body, err := json.Marshal(map[string]any{"input": json.RawMessage(`{"order":"` + c.Order + `"}`), "prior": prior})
		if err != nil {
			return loadgen.Answer{Outcome: outcome.KindFailed}
		}
		whole, ok := r.stage(ctx, set, name, id, body)
		if !ok {
			return loadgen.Answer{Outcome: outcome.KindFailed, Reason: outcome.TargetError}
		}
		prior[name] = whole.Output
		last = whole
	}
	var a struct {
		Order string `json:"order"`
	}
	_ = json.Unmarshal(last.Output, &a)
	return loadgen.Answer{Outcome: outcome.KindAnswered, Order: a.Order, Complete: true}
}

func (r *Router) stage(ctx context.Context, set release.Set, name, id string, body []byte) (backend.Complete, bool) {
	s := set.Stages[name]
	for n := range retries + 1 {
		address, ok := r.next(set, s.Pool)
		if !ok {
			return backend.Complete{}, false
		}
		tally, _ := r.Attempts.LoadOrStore(name, &atomic.Int64{})
		tally.(*atomic.Int64).Add(1)
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
		if whole, ok := result.(backend.Complete); ok {
			return whole, true
		}
		select {
		case <-ctx.Done():
			return backend.Complete{}, false
		case <-time.After(retryIn):
		}
	}
	return backend.Complete{}, false
}

// next goes round robin over the targets in data centres that are in.
func (r *Router) next(set release.Set, pool string) (string, bool) {
	var list []string
	for _, t := range set.Pools[pool].Targets {
		if set.Datacentres[t.Datacentre].State == datacentre.InService {
			list = append(list, t.Address)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	turn, _ := r.turns.LoadOrStore(pool, &atomic.Uint64{})
	return list[turn.(*atomic.Uint64).Add(1)%uint64(len(list))], true
}
