package simulation

import (
	"maps"
	"slices"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
)

// group is the pieces of one stage of one request.
type group struct {
	batch.Group
	request *request
	id      uint64
	left    int
	// unfetched counts the pieces whose inputs no target has yet.
	unfetched int
	fetched   []bool
	closed    bool
}

func (g *group) over() bool { return g.closed || g.request.over }

// queue has the pieces of a group made.
func (w *world) queue(g *group) {
	l := w.line(g.Service, g.request.node)
	if w.policy == Naive {
		w.direct(g)
		return
	}
	w.ask(l)
	_, err := l.Admit(w.clock.now, l.service.Batching, g.Group)
	if r, ok := err.(*batch.RefusedError); ok {
		w.drop(g)
		w.refuse(g.request, "crowded", schedule.RetryAfterRefused(w.clock.now, r.Wait, g.request.end))
		return
	}
	for i := range g.Count {
		l.Add(batch.Piece{Group: &g.Group, GroupID: g.id, Segment: i})
	}
	w.dispatch(l)
}

// direct gives a group a call of its own.
func (w *world) direct(g *group) {
	l := w.line(g.Service, g.request.node)
	list := w.byService[g.Service]
	w.turn++
	var pieces []batch.Piece
	for i := range min(g.Count, l.service.Batching.MaxSize) {
		pieces = append(pieces, batch.Piece{Group: &g.Group, GroupID: g.id, Segment: i})
	}
	for i := range pieces {
		w.fetch(g, i)
	}
	w.report.call(len(pieces), l.service.Batching.MaxSize, len(pieces))
	w.work(list[w.turn%len(list)], l.service.Batching, pieces, func(reply batch.Reply, ok bool) {
		if !ok {
			w.fail(g.request, "full")
			return
		}
		for i, p := range pieces {
			w.settle(l, p, reply.Results[i])
		}
	})
}

// dispatch begins the calls that can begin.
func (w *world) dispatch(l *line) {
	now := w.clock.now
	for _, p := range l.Expire(now, l.service.Batching) {
		g := w.groups[p.GroupID]
		if g == nil {
			continue
		}
		w.drop(g)
		w.refuse(g.request, "late", schedule.RetryAfterDisplaced(now, g.request.end))
	}
	l.StartRound()
	for {
		c, ok := l.NextCall(now, l.service.Batching)
		if !ok {
			return
		}
		w.call(l, c)
	}
}

func (w *world) call(l *line, c *batch.Call) {
	w.report.call(len(c.Pieces), l.service.Batching.MaxSize, c.QueueLength+len(c.Pieces))
	for _, p := range c.Pieces {
		if g := w.groups[p.GroupID]; g != nil && c.StartsAtOnce {
			w.fetch(g, p.Segment)
		}
	}
	lives := l.lives
	w.work(w.makers[c.Target.Address], l.service.Batching, c.Pieces, func(reply batch.Reply, ok bool) {
		if l.lives != lives {
			return
		}
		now := w.clock.now
		if !ok {
			avoid, _ := c.Fail(now)
			for _, p := range c.Pieces {
				if g := w.groups[p.GroupID]; g != nil && !g.over() {
					l.Add(p)
				}
			}
			w.clock.after(avoid, func() { w.dispatch(l) })
			return
		}
		if c.Complete(now, l.service.Batching, reply) {
			w.ask(l)
			w.look(l)
		}
		for i, p := range c.Pieces {
			w.settle(l, p, reply.Results[i])
		}
		w.dispatch(l)
	})
}

// unit is how exactly targets tell their space, in bytes.
const unit = mb

// ask has the targets tell their space of which it is not known.
func (w *world) ask(l *line) {
	for _, t := range l.TargetsToProbe(w.clock.now) {
		lives := l.lives
		w.clock.after(hop, func() {
			if l.lives == lives {
				free := (l.service.Batching.ResultSpace - w.makers[t.Address].used) / unit * unit
				l.RecordSpace(w.clock.now, l.service.Batching, t, batch.Space{Min: free, Max: free + unit})
				w.dispatch(l)
				w.look(l)
			}
		})
	}
}

// look dispatches again while unknown results hold space.
func (w *world) look(l *line) {
	if l.looks || !l.HasUntracked(w.clock.now) {
		return
	}
	l.looks = true
	w.clock.after(lookEvery, func() {
		l.looks = false
		w.ask(l)
		w.look(l)
	})
}

// fetch says that a target has the inputs of a piece; they are given up once no piece of any stage needs them.
func (w *world) fetch(g *group, segment int) {
	if g.fetched[segment] {
		return
	}
	g.fetched[segment] = true
	if g.unfetched--; g.unfetched > 0 {
		return
	}
	w.clock.after(fetched, func() {
		r := g.request
		for _, a := range r.kind.Route.Stages[g.Stage].DependsOn {
			if r.needed[a]--; r.needed[a] == 0 && r.results[a] != nil {
				w.free(r.node, r.results[a])
				r.results[a] = []batch.Result{}
			}
		}
	})
}

// settle takes the result of one piece.
func (w *world) settle(l *line, p batch.Piece, r batch.Result) {
	g := w.groups[p.GroupID]
	if g == nil || g.over() {
		if r.Reason == batch.Completed {
			w.free(w.requests[p.Request].node, []batch.Result{r})
		}
		return
	}
	switch r.Reason {
	case batch.Completed:
		w.fetch(g, p.Segment)
		g.request.results[g.Stage][p.Segment] = r
		if g.left--; g.left == 0 {
			w.drop(g)
			g.request.ready[g.Stage] = true
			w.clock.after(hop/2, func() {
				if !g.request.over {
					w.advance(g.request)
				}
			})
		}
	case batch.NoSpace:
		if w.policy == Naive || w.clock.now.After(p.StartByDeadline) {
			w.fail(g.request, "full")
			return
		}
		l.Add(p)
	default:
		w.fail(g.request, "gone")
	}
}

func (w *world) drop(g *group) {
	g.closed = true
	w.line(g.Service, g.request.node).RemoveGroup(g.id)
	delete(w.groups, g.id)
}

// free gives results up, at the desk of their request.
func (w *world) free(node int, list []batch.Result) {
	byAddress := map[string][]string{}
	for _, x := range list {
		if x.Handle != "" {
			byAddress[batch.HandleAddress(x.Handle)] = append(byAddress[batch.HandleAddress(x.Handle)], x.Handle)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		handles := byAddress[address]
		w.clock.after(freeEvery+hop, func() {
			m := w.makers[address]
			for _, h := range handles {
				m.drop(h)
			}
			l := w.line(m.Service, node)
			l.ReleaseResults(address, handles)
			if w.policy != Naive {
				w.dispatch(l)
			}
		})
	}
}
