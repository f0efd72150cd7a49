package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch"
)

// chain is the stages of one request while they run.
type chain struct {
	shape schedule.StageGraph
	// tails is the least time from the start of each stage's last call to the answer; home is the data centre of the
	// target that is likely to answer.
	tails []time.Duration
	home  string
	// ready is closed for each stage once it has ended.
	ready []chan struct{}

	mu      sync.Mutex
	results [][]batch.Result
	held    []held
	// needed counts for each stage the stages that have not fetched its results yet.
	needed []int
	err    error
	// desks names for each stage the node that had it made, took how long that was.
	desks []string
	took  []int64
}

func newChain(shape schedule.StageGraph, home string) *chain {
	n := len(shape.Stages)
	c := &chain{
		shape: shape, tails: shape.RemainingTimes(), home: home, ready: make([]chan struct{}, n), results: make([][]batch.Result, n),
		held: make([]held, n), needed: route.DependentCounts(shape.Stages), desks: make([]string, n), took: make([]int64, n),
	}
	for i := range c.ready {
		c.ready[i] = make(chan struct{})
	}
	return c
}

// fetched gives the results that nobody needs any more once stage i has fetched its inputs.
func (c *chain) fetched(i int) []held {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []held
	for _, a := range c.shape.Stages[i].DependsOn {
		c.needed[a]--
		if c.needed[a] == 0 {
			list = append(list, c.held[a])
			c.held[a] = held{}
		}
	}
	return list
}

// stageError is a stage that brought no results.
type stageError struct {
	reason batch.Reason
	stage  int
}

func (e *stageError) Error() string { return fmt.Sprintf("stage %d: piece is %s", e.stage, e.reason) }

// prepare runs the stages of a request; nil means that all results are there.
func (g *Gateway) prepare(ctx context.Context, r *http.Request, j *job) *outcome {
	j.inputs = nil
	if len(j.route.Stages) == 0 {
		return nil
	}
	started := g.cfg.Now()
	shape := schedule.StageGraph{Stages: j.route.Stages, PieceCounts: j.PieceCounts, BatchLimits: func(service string) route.BatchProfile {
		s, _ := j.table.Service(service)
		return s.Batch
	}, FinalTime: g.first(j)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newChain(shape, g.home(started, j))
	var all sync.WaitGroup
	for i := range j.route.Stages {
		all.Add(1)
		go func() {
			defer all.Done()
			defer close(c.ready[i])
			if err := g.stage(ctx, j, c, i); err != nil {
				c.fail(err)
				cancel()
			}
		}()
	}
	all.Wait()
	j.held = c.held
	j.log["stages_ms"] = g.cfg.Now().Sub(started).Milliseconds()
	j.log["stage_ms"] = c.took
	j.log["stage_nodes"] = c.desks
	if c.err != nil {
		return g.unprepared(r, j, c.err)
	}
	for _, i := range j.route.FinalStages() {
		for _, x := range c.results[i] {
			j.inputs = append(j.inputs, x.Handle)
		}
	}
	return nil
}

func (c *chain) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

// stage waits for the stages before it and has its pieces made.
func (g *Gateway) stage(ctx context.Context, j *job, c *chain, i int) error {
	s := j.route.Stages[i]
	group := batch.Group{
		Service: s.Service, Request: j.ID, Stage: i,
		ResultBytes: s.ResultBytes, Priority: j.priority(), StartByObjective: j.aim.Add(-c.tails[i]), StartByDeadline: j.first.Add(-c.tails[i]),
	}
	if i < len(j.PieceCounts) {
		group.Count = j.PieceCounts[i]
	}
	for _, a := range s.DependsOn {
		select {
		case <-c.ready[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		for _, x := range c.results[a] {
			group.Inputs = append(group.Inputs, x.Handle)
		}
		c.mu.Unlock()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if group.Count == 0 {
		return nil
	}
	if len(group.Inputs) == 0 {
		group.PieceKey = j.PieceKey
	}
	group.PreferredDatacentre, group.TransferBytes = c.shape.PreferredDatacentre(i, c.counts(), c.home)
	group.PreferUntil = c.shape.PreferUntil(i, group.StartByObjective)
	started := g.cfg.Now()
	out, err := g.produce(ctx, group, func() { g.free(c.fetched(i)) })
	c.mu.Lock()
	c.desks[i], c.took[i] = out.Node, g.cfg.Now().Sub(started).Milliseconds()
	c.mu.Unlock()
	if err != nil {
		return err
	}
	var missing error
	var handles []string
	for _, x := range out.Results {
		if x.Reason != batch.Completed {
			missing = &stageError{reason: x.Reason, stage: i}
			continue
		}
		handles = append(handles, x.Handle)
	}
	c.mu.Lock()
	c.results[i] = out.Results
	c.held[i] = held{node: out.Node, handles: handles}
	c.mu.Unlock()
	return missing
}

// maxShards is how many shards are asked for one group: a second one, if the first is full.
const maxShards = 2

// produce has a group made by the first shard of its service that takes it.
func (g *Gateway) produce(ctx context.Context, group batch.Group, begun func()) (out dispatch.GroupResults, err error) {
	shards := dispatch.Shards(g.cfg.Roster(), group.Service, g.cfg.Datacentre, group.Request)
	for _, group.Datacentre = range shards[:min(maxShards, len(shards))] {
		out, err = g.cfg.Dispatch.Produce(ctx, group, begun)
		var full *batch.RefusedError
		if !errors.As(err, &full) {
			return out, err
		}
	}
	return out, err
}

// counts gives the results of each stage by data centre.
func (c *chain) counts() []map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return batch.CountByDatacentre(c.results)
}

// unprepared answers a request whose stages did not end well; the request itself has not been sent.
func (g *Gateway) unprepared(r *http.Request, j *job, err error) *outcome {
	if r.Context().Err() != nil {
		return callerLeft()
	}
	var full *batch.RefusedError
	var stage *stageError
	switch {
	case errors.As(err, &full):
		return refusal(causeCrowded, full.Error(), schedule.RetryAfterRefused(g.cfg.Now(), full.Wait, j.first))
	case errors.As(err, &stage):
		retry := retrySoon
		if stage.reason == batch.Late {
			retry = schedule.RetryAfterDisplaced(g.cfg.Now(), j.first)
		}
		out := refusal(causePiece, stage.Error(), retry)
		out.inputGone = stage.reason == batch.InputLost || stage.reason == batch.Failed
		return out
	default:
		return refusal(causePiece, "stages: "+err.Error(), retrySoon)
	}
}

// release gives up the results that a request holds.
func (g *Gateway) release(j *job) {
	g.free(j.held)
	j.held = nil
}

func (g *Gateway) free(list []held) {
	for _, h := range list {
		if len(h.handles) > 0 {
			go g.cfg.Dispatch.Free(h.node, h.handles)
		}
	}
}
