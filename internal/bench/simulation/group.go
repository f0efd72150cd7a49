package simulation

import (
	"maps"
	"slices"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
)

// group holds the pieces of one stage of one request.
type group struct {
	batch.Group
	request   *request
	id        uint64
	remaining int
	// unfetched counts the pieces whose inputs no target has fetched yet.
	unfetched int
	fetched   []bool
	closed    bool
}

func (g *group) ended() bool { return g.closed || g.request.ended }

// enqueue admits a group to its scheduler and queues its pieces.
func (s *sim) enqueue(g *group) {
	sched := s.scheduler(g.Service, g.request.node)
	if s.policy == Naive {
		s.callDirectly(g)
		return
	}
	s.probeSpace(sched)
	_, err := sched.Admit(s.clock.now, sched.service.Batching, g.Group)
	if r, ok := err.(*batch.RejectedError); ok {
		s.removeGroup(g)
		s.refuseRequest(g.request, "crowded", schedule.RetryAfterRejected(s.clock.now, r.Wait, g.request.deadline))
		return
	}
	for i := range g.Count {
		sched.Add(batch.Piece{Group: &g.Group, GroupID: g.id, Index: i})
	}
	s.dispatch(sched)
}

// callDirectly sends a group in a batch call of its own.
func (s *sim) callDirectly(g *group) {
	sched := s.scheduler(g.Service, g.request.node)
	list := s.targetsByService[g.Service]
	s.roundRobin++
	var pieces []batch.Piece
	for i := range min(g.Count, sched.service.Batching.MaxSize) {
		pieces = append(pieces, batch.Piece{Group: &g.Group, GroupID: g.id, Index: i})
	}
	for i := range pieces {
		s.markFetched(g, i)
	}
	s.report.recordCall(len(pieces), sched.service.Batching.MaxSize, len(pieces))
	s.runCall(list[s.roundRobin%len(list)], sched.service.Batching, pieces, func(reply batch.Reply, ok bool) {
		if !ok {
			s.failRequest(g.request, "full")
			return
		}
		for i, p := range pieces {
			s.recordResult(sched, p, reply.Results[i])
		}
	})
}

// dispatch starts the batch calls that can start now.
func (s *sim) dispatch(sched *scheduler) {
	now := s.clock.now
	for _, p := range sched.Expire(now, sched.service.Batching) {
		g := s.groups[p.GroupID]
		if g == nil {
			continue
		}
		s.removeGroup(g)
		s.refuseRequest(g.request, "late", schedule.RetryAfterDisplaced(now, g.request.deadline))
	}
	sched.StartRound()
	for {
		c, ok := sched.NextCall(now, sched.service.Batching)
		if !ok {
			return
		}
		s.startCall(sched, c)
	}
}

func (s *sim) startCall(sched *scheduler, c *batch.Call) {
	s.report.recordCall(len(c.Pieces), sched.service.Batching.MaxSize, c.QueueLength+len(c.Pieces))
	for _, p := range c.Pieces {
		if g := s.groups[p.GroupID]; g != nil && c.StartsAtOnce {
			s.markFetched(g, p.Index)
		}
	}
	generation := sched.generation
	s.runCall(s.stageTargets[c.Target.Address], sched.service.Batching, c.Pieces, func(reply batch.Reply, ok bool) {
		if sched.generation != generation {
			return
		}
		now := s.clock.now
		if !ok {
			backOff, _ := c.Fail(now)
			for _, p := range c.Pieces {
				if g := s.groups[p.GroupID]; g != nil && !g.ended() {
					sched.Add(p)
				}
			}
			s.clock.runAfter(backOff, func() { s.dispatch(sched) })
			return
		}
		if c.Complete(now, sched.service.Batching, reply) {
			s.probeSpace(sched)
			s.checkUntracked(sched)
		}
		for i, p := range c.Pieces {
			s.recordResult(sched, p, reply.Results[i])
		}
		s.dispatch(sched)
	})
}

// spaceUnit is the granularity, in bytes, at which targets report their free space.
const spaceUnit = mb

// probeSpace asks targets for their free space where the scheduler does not know it.
func (s *sim) probeSpace(sched *scheduler) {
	for _, t := range sched.TargetsToProbe(s.clock.now) {
		generation := sched.generation
		s.clock.runAfter(roundTrip, func() {
			if sched.generation == generation {
				free := (sched.service.Batching.ResultSpace - s.stageTargets[t.Address].usedSpace) / spaceUnit * spaceUnit
				sched.RecordSpace(s.clock.now, sched.service.Batching, t, batch.Space{Min: free, Max: free + spaceUnit})
				s.dispatch(sched)
				s.checkUntracked(sched)
			}
		})
	}
}

// checkUntracked probes and dispatches again while untracked results occupy space.
func (s *sim) checkUntracked(sched *scheduler) {
	if sched.checkScheduled || !sched.HasUntracked(s.clock.now) {
		return
	}
	sched.checkScheduled = true
	s.clock.runAfter(untrackedCheckInterval, func() {
		sched.checkScheduled = false
		s.probeSpace(sched)
		s.checkUntracked(sched)
	})
}

// markFetched records that a target has the inputs of a piece; inputs are released once no piece of any stage needs them.
func (s *sim) markFetched(g *group, index int) {
	if g.fetched[index] {
		return
	}
	g.fetched[index] = true
	if g.unfetched--; g.unfetched > 0 {
		return
	}
	s.clock.runAfter(inputFetchTime, func() {
		r := g.request
		for _, dependency := range r.kind.Route.Stages[g.Stage].DependsOn {
			if r.dependents[dependency]--; r.dependents[dependency] == 0 && r.results[dependency] != nil {
				s.releaseResults(r.node, r.results[dependency])
				r.results[dependency] = []batch.Result{}
			}
		}
	})
}

// recordResult records the result of one piece.
func (s *sim) recordResult(sched *scheduler, p batch.Piece, r batch.Result) {
	g := s.groups[p.GroupID]
	if g == nil || g.ended() {
		if r.Reason == batch.Completed {
			s.releaseResults(s.requests[p.Request].node, []batch.Result{r})
		}
		return
	}
	switch r.Reason {
	case batch.Completed:
		s.markFetched(g, p.Index)
		g.request.results[g.Stage][p.Index] = r
		if at := s.clock.now.Add(sched.service.Batching.ResultTTL); g.request.expireAt[g.Stage].IsZero() {
			g.request.expireAt[g.Stage] = at
		}
		if g.remaining--; g.remaining == 0 {
			s.removeGroup(g)
			g.request.ready[g.Stage] = true
			s.clock.runAfter(roundTrip/2, func() {
				if !g.request.ended {
					s.startReadyStages(g.request)
				}
			})
		}
	case batch.NoSpace:
		if s.policy == Naive || s.clock.now.After(p.StartByDeadline) {
			s.failRequest(g.request, "full")
			return
		}
		sched.Add(p)
	default:
		s.failRequest(g.request, "gone")
	}
}

func (s *sim) removeGroup(g *group) {
	g.closed = true
	s.scheduler(g.Service, g.request.node).RemoveGroup(g.id)
	delete(s.groups, g.id)
}

// releaseResults releases results through the dispatcher of their request.
func (s *sim) releaseResults(node int, results []batch.Result) {
	byAddress := map[string][]string{}
	for _, result := range results {
		if result.Handle != "" {
			byAddress[batch.HandleAddress(result.Handle)] = append(byAddress[batch.HandleAddress(result.Handle)], result.Handle)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		handles := byAddress[address]
		s.clock.runAfter(releaseInterval+roundTrip, func() {
			t := s.stageTargets[address]
			for _, h := range handles {
				t.dropResult(h)
			}
			sched := s.scheduler(t.Service, node)
			sched.ReleaseResults(address, handles)
			if s.policy != Naive {
				s.dispatch(sched)
			}
		})
	}
}
