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

// stageRun is the state of the stages of one request.
type stageRun struct {
	graph schedule.StageGraph
	// remainingTimes is the least time from the start of each stage's last call to the response; likelyDatacentre is
	// the data centre of the target that is likely to run the request.
	remainingTimes   []time.Duration
	likelyDatacentre string
	// ended is closed for each stage once it has ended.
	ended []chan struct{}

	mu      sync.Mutex
	results [][]batch.Result
	held    []heldResults
	// unread counts for each stage the stages that have not read its results yet; read has for each stage those of its inputs that
	// it has read.
	unread []int
	read   [][]bool
	// hasRoom has for each stage whether its results need not be freed before their readers have ended.
	hasRoom []bool
	err     error
	// expireAt is when the results of each stage expire, zero if they do not.
	expireAt []time.Time
	// nodes has for each stage the node whose dispatcher ran it, tookMS how long that took.
	nodes  []string
	tookMS []int64
}

func newStageRun(graph schedule.StageGraph, likelyDatacentre string) *stageRun {
	n := len(graph.Stages)
	sr := &stageRun{
		graph: graph, remainingTimes: graph.RemainingTimes(), likelyDatacentre: likelyDatacentre, ended: make([]chan struct{}, n), results: make([][]batch.Result, n),
		held: make([]heldResults, n), unread: route.DependentCounts(graph.Stages), read: make([][]bool, n), hasRoom: make([]bool, n), nodes: make([]string, n), tookMS: make([]int64, n),
		expireAt: make([]time.Time, n),
	}
	for i := range sr.ended {
		sr.ended[i] = make(chan struct{})
		sr.read[i] = make([]bool, len(graph.Stages[i].DependsOn))
	}
	return sr
}

// markRead records that stage i has read its inputs, and returns the results that no stage needs any more. Until the stage has ended, a piece
// may need its inputs again, so those that their targets have room for stay until then.
func (sr *stageRun) markRead(i int, hasEnded bool) []heldResults {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	var list []heldResults
	for n, dep := range sr.graph.Stages[i].DependsOn {
		if sr.read[i][n] || (!hasEnded && sr.hasRoom[dep]) {
			continue
		}
		sr.read[i][n] = true
		sr.unread[dep]--
		if sr.unread[dep] == 0 {
			list = append(list, sr.held[dep])
			sr.held[dep] = heldResults{}
		}
	}
	return list
}

// stageError is the error of a stage with a piece that has no result.
type stageError struct {
	reason batch.Reason
	stage  int
}

func (e *stageError) Error() string { return fmt.Sprintf("stage %d: piece is %s", e.stage, e.reason) }

// runStages runs the stages of a request; it returns nil if all results are there.
func (g *Gateway) runStages(ctx context.Context, r *http.Request, rs *requestState) *outcome {
	rs.inputs, rs.inputsFreed, rs.inputsExpireAt = nil, false, time.Time{}
	if len(rs.route.Stages) == 0 {
		return nil
	}
	started := g.cfg.Now()
	g.beginStages(started, rs)
	graph := schedule.StageGraph{Stages: rs.route.Stages, PieceCounts: rs.PieceCounts, BatchProfile: func(service string) route.BatchProfile {
		s, _ := rs.table.Service(service)
		return s.Batch
	}, FinalTime: g.firstByteTime(rs)}
	if out := g.announce(ctx, rs, graph); out != nil {
		return out
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sr := newStageRun(graph, g.likelyDatacentre(started, rs))
	var wg sync.WaitGroup
	for i := range rs.route.Stages {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer close(sr.ended[i])
			if err := g.runStage(ctx, rs, sr, i); err != nil {
				sr.fail(err)
				cancel()
			}
		}()
	}
	wg.Wait()
	rs.held = sr.held
	rs.log["stages_ms"] = g.cfg.Now().Sub(started).Milliseconds()
	rs.log["stage_ms"] = sr.tookMS
	rs.log["stage_nodes"] = sr.nodes
	if sr.err != nil {
		return g.stagesFailure(r, rs, sr.err)
	}
	for _, i := range rs.route.FinalStages() {
		for _, x := range sr.results[i] {
			rs.inputs = append(rs.inputs, x.Handle)
		}
		if at := sr.expireAt[i]; !at.IsZero() && (rs.inputsExpireAt.IsZero() || at.Before(rs.inputsExpireAt)) {
			rs.inputsExpireAt = at
		}
	}
	return nil
}

func (sr *stageRun) fail(err error) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.err == nil {
		sr.err = err
	}
}

// runStage waits for the stages that stage i depends on and runs its pieces.
func (g *Gateway) runStage(ctx context.Context, rs *requestState, sr *stageRun, i int) error {
	s := rs.route.Stages[i]
	group := batch.Group{
		Service: s.Service, Request: rs.ID, Stage: i, Identity: rs.identity,
		ResultBytes: s.ResultBytes, Priority: rs.priority(), StartByObjective: rs.objective.Add(-sr.remainingTimes[i]), StartByDeadline: rs.firstByteBy.Add(-sr.remainingTimes[i]),
	}
	if i < len(rs.PieceCounts) {
		group.Count = rs.PieceCounts[i]
	}
	for _, dep := range s.DependsOn {
		select {
		case <-sr.ended[dep]:
		case <-ctx.Done():
			return ctx.Err()
		}
		sr.mu.Lock()
		for _, x := range sr.results[dep] {
			group.Inputs = append(group.Inputs, x.Handle)
		}
		sr.mu.Unlock()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if group.Count == 0 {
		g.freeResults(sr.markRead(i, true))
		return nil
	}
	if len(group.Inputs) == 0 {
		group.PieceKey = rs.PieceKey
	}
	group.StartByDeadline = sr.latestStart(i, group.StartByDeadline)
	group.PreferredDatacentre, group.TransferBytes = sr.graph.PreferredDatacentre(i, sr.resultCounts(), sr.likelyDatacentre)
	group.PreferUntil = sr.graph.PreferUntil(i, group.StartByObjective)
	started := g.cfg.Now()
	group.StartByObjective = sr.graph.ReserveForLaterStages(started, i, group.StartByObjective)
	out, err := g.produce(ctx, group, func() { g.freeResults(sr.markRead(i, false)) })
	sr.mu.Lock()
	sr.nodes[i], sr.tookMS[i] = out.Node, g.cfg.Now().Sub(started).Milliseconds()
	sr.mu.Unlock()
	if err != nil {
		return err
	}
	g.freeResults(sr.markRead(i, true))
	var stageErr error
	var handles []string
	for _, x := range out.Results {
		if x.Reason != batch.Completed {
			stageErr = &stageError{reason: x.Reason, stage: i}
			continue
		}
		handles = append(handles, x.Handle)
	}
	sr.mu.Lock()
	sr.results[i] = out.Results
	sr.held[i] = heldResults{node: out.Node, handles: handles}
	sr.hasRoom[i] = out.HasRoom
	if made, ok := rs.table.Service(s.Service); ok && made.Batch.ResultTTL > 0 {
		ttl := made.Batch.ResultTTL
		sr.expireAt[i] = g.cfg.Now().Add(ttl - min(inputReadTime, ttl/4))
	}
	sr.mu.Unlock()
	return stageErr
}

// inputReadTime is the most that is taken off the time for which results stay: they were made before this node learned of them, and the
// target has to read them.
const inputReadTime = 100 * time.Millisecond

// haveInputsExpired reports whether the results of a request's stages can no longer be read.
func (rs *requestState) haveInputsExpired(now time.Time) bool {
	return rs.inputsFreed || (len(rs.inputs) > 0 && !rs.inputsExpireAt.IsZero() && !now.Before(rs.inputsExpireAt))
}

// maxShards bounds the shards that are tried for one group: a second one if the first refuses it.
const maxShards = 2

// produce runs a group at the first shard of its service that accepts it.
func (g *Gateway) produce(ctx context.Context, group batch.Group, onInputsFetched func()) (out dispatch.GroupResults, err error) {
	shards := dispatch.Shards(g.cfg.Registry(), group.Service, g.cfg.Datacentre, group.Request)
	for _, group.Datacentre = range shards[:min(maxShards, len(shards))] {
		out, err = g.cfg.Dispatch.Produce(ctx, group, onInputsFetched)
		var refusedErr *batch.RejectedError
		if !errors.As(err, &refusedErr) {
			return out, err
		}
	}
	return out, err
}

// resultCounts returns the number of results of each stage by data centre.
func (sr *stageRun) resultCounts() []map[string]int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return batch.CountByDatacentre(sr.results)
}

// stagesFailure returns the outcome of a request whose stages failed; the request itself has not been sent.
func (g *Gateway) stagesFailure(r *http.Request, rs *requestState, err error) *outcome {
	if r.Context().Err() != nil {
		return cancellation()
	}
	var refusedErr *batch.RejectedError
	var stageErr *stageError
	switch {
	case errors.As(err, &refusedErr) && refusedErr.Quarantined:
		return refusal(causeQuarantined, refusedErr.Reason, quarantineRetry)
	case errors.As(err, &refusedErr):
		return refusal(causeOverloaded, refusedErr.Error(), schedule.RetryAfterRejected(g.cfg.Now(), refusedErr.Wait, rs.firstByteBy))
	case errors.As(err, &stageErr):
		retry := shortRetry
		if stageErr.reason == batch.Late {
			retry = schedule.RetryAfterDisplaced(g.cfg.Now(), rs.firstByteBy)
		}
		out := refusal(causePiece, stageErr.Error(), retry)
		out.inputLost = stageErr.reason == batch.InputLost || stageErr.reason == batch.Failed
		return out
	default:
		return refusal(causePiece, "stages: "+err.Error(), shortRetry)
	}
}

// releaseResults frees the results of a request's stages that have not been freed yet.
func (g *Gateway) releaseResults(rs *requestState) {
	g.freeResults(rs.held)
	rs.held = nil
	rs.inputsFreed = len(rs.inputs) > 0
}

func (g *Gateway) freeResults(list []heldResults) {
	for _, h := range list {
		if len(h.handles) > 0 {
			go g.cfg.Dispatch.Free(h.node, h.handles)
		}
	}
}
