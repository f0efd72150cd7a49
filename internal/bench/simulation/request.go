package simulation

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/schedule"
)

// firstRest is the time from the last stage to the first event that a node expects.
const firstRest = 150 * ms

// request is one try of a caller.
type request struct {
	id     string
	kind   *Kind
	caller *caller
	node   int
	// aim and end are when the first event is wanted and needed.
	aim     time.Time
	end     time.Time
	results [][]batch.Result
	ready   []bool
	needed  []int
	groups  []*group
	over    bool
	spent   time.Duration
}

// caller is one user's request with its tries.
type caller struct {
	arrival
	first time.Time
	tries int
	again bool
}

func (r *request) part() string { return r.kind.Route.Name + itoa(r.caller.arrival.part) }
func (r *request) tokens() int  { return r.kind.UniqueTokens + r.kind.SharedTokens }

func (w *world) arrive(a arrival) {
	c := &caller{arrival: a, first: w.clock.now, again: w.rand.Float64() < w.pattern.RetryShare}
	w.report.offered(&w.deployment.Kinds[a.kind], w.clock.now)
	w.try(c)
}

// try makes one try of a caller, at any node.
func (w *world) try(c *caller) {
	k := &w.deployment.Kinds[c.kind]
	c.tries++
	r := &request{
		id: itoa(int(c.id>>1)) + "-" + itoa(c.tries), kind: k, caller: c, node: w.rand.IntN(w.deployment.Nodes),
		aim: c.first.Add(k.Route.LatencyObjective), end: c.first.Add(k.Route.Timeout),
		results: make([][]batch.Result, len(k.Route.Stages)), ready: make([]bool, len(k.Route.Stages)), needed: route.DependentCounts(k.Route.Stages),
	}
	w.requests[r.id] = r
	w.clock.at(r.end, func() { w.fail(r, "timeout") })
	w.advance(r)
}

func (w *world) shape(r *request) schedule.StageGraph {
	return schedule.StageGraph{Stages: r.kind.Route.Stages, PieceCounts: r.caller.pieces, BatchLimits: w.terms, FinalTime: firstRest}
}

// advance begins the stages whose inputs are all there, and the request itself after the last.
func (w *world) advance(r *request) {
	shape := w.shape(r)
	tails := shape.RemainingTimes()
	all := true
	for i, s := range r.kind.Route.Stages {
		if r.ready[i] {
			continue
		}
		if r.results[i] != nil {
			all = false
			continue
		}
		var inputs []string
		waits := false
		for _, a := range s.DependsOn {
			waits = waits || !r.ready[a]
			for _, x := range r.results[a] {
				inputs = append(inputs, x.Handle)
			}
		}
		if waits {
			all = false
			continue
		}
		r.results[i] = make([]batch.Result, r.caller.pieces[i])
		if r.caller.pieces[i] == 0 {
			r.ready[i] = true
			w.advance(r)
			return
		}
		all = false
		home, weight := shape.PreferredDatacentre(i, batch.CountByDatacentre(r.results), w.choose(r).Datacentre)
		w.begin(r, i, inputs, tails[i], home, weight)
		if r.over {
			return
		}
	}
	if all {
		w.send(r)
	}
}

// begin queues the pieces of a stage.
func (w *world) begin(r *request, i int, inputs []string, tail time.Duration, home string, weight int64) {
	s := r.kind.Route.Stages[i]
	w.lastGroup++
	g := &group{request: r, id: w.lastGroup, Group: batch.Group{
		Service: s.Service, Request: r.id, Stage: i, Count: r.caller.pieces[i], Inputs: inputs, ResultBytes: s.ResultBytes,
		Priority: r.kind.Route.Priority, StartByObjective: r.aim.Add(-tail), StartByDeadline: r.end.Add(-tail), PreferredDatacentre: home, TransferBytes: weight, PreferUntil: w.shape(r).PreferUntil(i, r.aim.Add(-tail)),
	}}
	g.left, g.unfetched, g.fetched = g.Count, g.Count, make([]bool, g.Count)
	w.groups[g.id] = g
	r.groups = append(r.groups, g)
	w.queue(g)
}

// send has the request run by a model target.
func (w *world) send(r *request) {
	m := w.choose(r)
	key := loadKey{r.node, m.ID}
	w.loads[key] = atReader{w.loads[key].running + 1, w.loads[key].unread + r.tokens()}
	for _, i := range r.kind.Route.FinalStages() {
		for _, x := range r.results[i] {
			w.cross(m.Datacentre, []string{x.Handle})
		}
	}
	at := w.read(m, r)
	w.clock.at(at, func() {
		w.loads[key] = atReader{w.loads[key].running - 1, w.loads[key].unread - r.tokens()}
		if !r.over {
			w.end(r)
			w.report.answered(r.kind, w.clock.now, w.clock.now.Sub(r.caller.first))
		}
	})
	w.clock.after(fetched, func() { w.release(r) })
}

// end closes a request and gives up what it holds.
func (w *world) end(r *request) {
	r.over = true
	for _, g := range r.groups {
		w.drop(g)
	}
	w.release(r)
	w.clock.after(time.Minute, func() { delete(w.requests, r.id) })
}

func (w *world) release(r *request) {
	for i := range r.results {
		w.free(r.node, r.results[i])
		r.results[i] = nil
	}
}

func (w *world) fail(r *request, why string) {
	if r.over {
		return
	}
	w.end(r)
	w.report.failed(r.kind, why, r.spent)
}

// refuse ends a request with a time to come back; the caller does while it has tries and time for it.
func (w *world) refuse(r *request, why string, back time.Duration) {
	if r.over {
		return
	}
	w.end(r)
	c := r.caller
	w.report.refused(why, w.clock.now.Sub(c.first), r.spent)
	tries, wait := 1+r.kind.tries(), back+time.Duration(0.3*w.rand.Float64()*float64(back))
	if c.again {
		tries, wait = 1+w.pattern.MaxRetries, 20*ms
	}
	if left := r.end.Sub(w.clock.now); c.tries < tries && wait <= left/3 {
		w.clock.after(wait, func() { w.try(c) })
		return
	}
	w.report.failed(r.kind, "refused", 0)
}

// tries is how often a caller of this kind comes back.
func (k *Kind) tries() int { return 1 }
