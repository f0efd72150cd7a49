package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
)

// finalTime is the time that a node expects from the last stage to the first event.
const finalTime = 150 * ms

// request is one try of a caller.
type request struct {
	id     string
	kind   *Kind
	caller *caller
	node   int
	// objectiveAt is when the first event is wanted by the latency objective, deadline when it is needed at the latest.
	objectiveAt time.Time
	deadline    time.Time
	results     [][]batch.Result
	ready       []bool
	dependents  []int
	groups      []*group
	// expireAt is when the first result of each stage expires, zero for one without results.
	expireAt []time.Time
	ended    bool
	spent    time.Duration
}

// caller is one user's request with its tries.
type caller struct {
	arrival
	firstTryAt    time.Time
	tries         int
	retriesAtOnce bool
}

// inputsExpireAt returns when the first input of a stage expires, the zero time if it has none.
func (r *request) inputsExpireAt(stage int) (at time.Time) {
	for _, d := range r.kind.Route.Stages[stage].DependsOn {
		if x := r.expireAt[d]; !x.IsZero() && (at.IsZero() || x.Before(at)) {
			at = x
		}
	}
	return at
}

func (r *request) sharedPrefix() string { return r.kind.Route.Name + itoa(r.caller.arrival.prefix) }
func (r *request) promptTokens() int    { return r.kind.UniqueTokens + r.kind.SharedTokens }

func (s *sim) arrive(a arrival) {
	c := &caller{arrival: a, firstTryAt: s.clock.now, retriesAtOnce: s.rand.Float64() < s.scenario.RetryShare}
	s.report.recordOffered(&s.deployment.Kinds[a.kindIndex], s.clock.now, a.pieces())
	s.startTry(c)
}

// startTry starts a caller's next try at a random node.
func (s *sim) startTry(c *caller) {
	k := &s.deployment.Kinds[c.kindIndex]
	c.tries++
	r := &request{
		id: itoa(int(c.id>>1)) + "-" + itoa(c.tries), kind: k, caller: c, node: s.rand.IntN(s.deployment.Nodes),
		objectiveAt: c.firstTryAt.Add(k.Route.LatencyObjective), deadline: c.firstTryAt.Add(k.Route.Timeout),
		results: make([][]batch.Result, len(k.Route.Stages)), ready: make([]bool, len(k.Route.Stages)), expireAt: make([]time.Time, len(k.Route.Stages)), dependents: route.DependentCounts(k.Route.Stages),
	}
	s.requests[r.id] = r
	s.clock.runAt(r.deadline, func() { s.failRequest(r, "timeout") })
	s.startReadyStages(r)
}

func (s *sim) stageGraph(r *request) schedule.StageGraph {
	return schedule.StageGraph{Stages: r.kind.Route.Stages, PieceCounts: r.caller.pieceCounts, BatchProfile: s.profile, FinalTime: finalTime}
}

// startReadyStages starts the stages whose inputs are all available, and sends the request to a model target after the
// last one.
func (s *sim) startReadyStages(r *request) {
	graph := s.stageGraph(r)
	remainingTimes := graph.RemainingTimes()
	allReady := true
	for i, stage := range r.kind.Route.Stages {
		if r.ready[i] {
			continue
		}
		if r.results[i] != nil {
			allReady = false
			continue
		}
		var inputs []string
		isBlocked := false
		for _, dependency := range stage.DependsOn {
			isBlocked = isBlocked || !r.ready[dependency]
			for _, result := range r.results[dependency] {
				inputs = append(inputs, result.Handle)
			}
		}
		if isBlocked {
			allReady = false
			continue
		}
		r.results[i] = make([]batch.Result, r.caller.pieceCounts[i])
		if r.caller.pieceCounts[i] == 0 {
			r.ready[i] = true
			s.startReadyStages(r)
			return
		}
		allReady = false
		preferred, transferBytes := graph.PreferredDatacentre(i, batch.CountByDatacentre(r.results), s.chooseModel(r).Datacentre)
		s.startStage(r, i, inputs, remainingTimes[i], preferred, transferBytes)
		if r.ended {
			return
		}
	}
	if allReady {
		s.sendToModel(r)
	}
}

// startStage queues the pieces of a stage.
func (s *sim) startStage(r *request, index int, inputs []string, remainingTime time.Duration, preferred string, transferBytes int64) {
	stage := r.kind.Route.Stages[index]
	s.lastGroupID++
	g := &group{request: r, id: s.lastGroupID, Group: batch.Group{
		Service: stage.Service, Request: r.id, Stage: index, Count: r.caller.pieceCounts[index], Inputs: inputs, ResultBytes: stage.ResultBytes,
		Priority: r.kind.Route.Priority, StartByObjective: r.objectiveAt.Add(-remainingTime), StartByDeadline: r.deadline.Add(-remainingTime), PreferredDatacentre: preferred, TransferBytes: transferBytes, PreferUntil: s.stageGraph(r).PreferUntil(index, r.objectiveAt.Add(-remainingTime)),
	}}
	if at := r.inputsExpireAt(index); !at.IsZero() && at.Before(g.StartByDeadline) && s.policy != Naive {
		g.StartByDeadline = at
	}
	if !s.withoutReserve {
		g.StartByObjective = s.stageGraph(r).ReserveForLaterStages(s.clock.now, index, g.StartByObjective)
	}
	g.remaining, g.unfetched, g.fetched = g.Count, g.Count, make([]bool, g.Count)
	s.groups[g.id] = g
	r.groups = append(r.groups, g)
	s.enqueue(g)
}

// sendToModel has a model target run the request.
func (s *sim) sendToModel(r *request) {
	m := s.chooseModel(r)
	key := loadKey{r.node, m.ID}
	s.modelLoads[key] = modelLoad{s.modelLoads[key].running + 1, s.modelLoads[key].pendingTokens + r.promptTokens()}
	for _, i := range r.kind.Route.FinalStages() {
		for _, result := range r.results[i] {
			s.countTransfer(m.Datacentre, []string{result.Handle})
		}
	}
	firstEventAt := s.prefill(m, r)
	s.clock.runAt(firstEventAt, func() {
		s.modelLoads[key] = modelLoad{s.modelLoads[key].running - 1, s.modelLoads[key].pendingTokens - r.promptTokens()}
		if !r.ended {
			s.endRequest(r)
			s.report.recordAnswered(r.kind, s.clock.now, s.clock.now.Sub(r.caller.firstTryAt), r.caller.pieces())
		}
	})
	s.clock.runAfter(inputFetchTime, func() { s.releaseRequest(r) })
}

// endRequest ends a request and releases its results.
func (s *sim) endRequest(r *request) {
	r.ended = true
	for _, g := range r.groups {
		s.removeGroup(g)
	}
	s.releaseRequest(r)
	s.clock.runAfter(time.Minute, func() { delete(s.requests, r.id) })
}

func (s *sim) releaseRequest(r *request) {
	for i := range r.results {
		s.releaseResults(r.node, r.results[i])
		r.results[i] = nil
	}
}

func (s *sim) failRequest(r *request, reason string) {
	if r.ended {
		return
	}
	s.endRequest(r)
	s.report.recordFailed(r.kind, reason, r.spent)
}

// refuseRequest refuses a request with a retry time; the caller retries while it has retries and time left.
func (s *sim) refuseRequest(r *request, reason string, retryAfter time.Duration) {
	if r.ended {
		return
	}
	s.endRequest(r)
	c := r.caller
	s.report.recordRefused(reason, s.clock.now.Sub(c.firstTryAt), r.spent)
	tries, wait := 1+r.kind.retries(), retryAfter+time.Duration(0.3*s.rand.Float64()*float64(retryAfter))
	if c.retriesAtOnce {
		tries, wait = 1+s.scenario.MaxRetries, 20*ms
	}
	if remaining := r.deadline.Sub(s.clock.now); c.tries < tries && wait <= remaining/3 {
		s.clock.runAfter(wait, func() { s.startTry(c) })
		return
	}
	s.report.recordFailed(r.kind, "refused", 0)
}

// retries is the number of retries of a caller of this kind.
func (k *Kind) retries() int { return 1 }
