package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
)

// errStopping ends a request for which the rest of a planned stop is too short.
var errStopping = errors.New("node is stopping")

const stoppingText = "this node is stopping"

// wholeRequest is the index in a history key that stands for all stages with the wait before them.
const wholeRequest = -1

// historyKey names the requests of a pipeline from one of its stages on.
type historyKey struct {
	pipeline string
	index    int
}

// runningRequest is what a planned stop needs to know of a request; the lock of the stop state guards it.
type runningRequest struct {
	id, pipeline string
	received     time.Time
	deadline     time.Time
	stage        shutdown.Stage
	// index is that of the pipeline's stage that the request has come to, and sentAt when each stage was last sent.
	index   int
	sentAt  []time.Time
	end     context.CancelCauseFunc
	isEnded bool
}

// stopState is what a coordinator knows of the running requests, and of a planned stop.
type stopState struct {
	mu        sync.Mutex
	plan      *shutdown.Plan
	running   map[*runningRequest]bool
	histories map[historyKey]*shutdown.History
}

func newStopState() *stopState {
	return &stopState{running: map[*runningRequest]bool{}, histories: map[historyKey]*shutdown.History{}}
}

// EndedRequest is a request that a planned stop has ended.
type EndedRequest struct {
	ID    string
	Stage shutdown.Stage
}

// Drain makes the coordinator accept only what ends before a planned stop does. The caller has to call Review now and then.
func (c *Coordinator) Drain(p shutdown.Plan) {
	c.stop.mu.Lock()
	defer c.stop.mu.Unlock()
	c.stop.plan = &p
}

// Review ends the requests for which the rest of a planned stop is too short, and returns them.
func (c *Coordinator) Review(now time.Time) []EndedRequest {
	s := c.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		return nil
	}
	var ended []EndedRequest
	for x := range s.running {
		if !x.isEnded && s.plan.MustEnd(now, x.stage, s.workOf(x)) {
			x.isEnded = true
			x.end(errStopping)
			ended = append(ended, EndedRequest{ID: x.id, Stage: x.stage})
		}
	}
	return ended
}

// work returns what is known of requests of a pipeline from a stage on; the lock is held.
func (s *stopState) work(pipeline string, index int, deadline time.Time) shutdown.Work {
	w := shutdown.Work{Deadline: deadline}
	if h := s.histories[historyKey{pipeline, index}]; h != nil {
		w.Expected, _, w.HasExpected = h.Expected(0)
	}
	return w
}

func (s *stopState) workOf(x *runningRequest) shutdown.Work {
	return s.work(x.pipeline, x.index, x.deadline)
}

// admit returns nil if a request may be run, or its rejection if it may not end before a planned stop does. A request that is only
// expected to end in time is given no more than that.
func (s *stopState) admit(now time.Time, p *plan) outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		return nil
	}
	switch s.plan.Admit(now, s.work(p.pipeline.Name, wholeRequest, p.request.Deadline)) {
	case shutdown.Reject:
		return stoppedOutcome()
	case shutdown.AcceptBounded:
		p.isBounded = true
		p.request.Deadline = s.plan.AnswerBy
	}
	return nil
}

// begin records that a request runs, which end ends.
func (s *stopState) begin(now time.Time, p plan, end context.CancelCauseFunc) *runningRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &runningRequest{
		id: p.request.ID, pipeline: p.pipeline.Name, received: now, deadline: p.request.Deadline,
		stage: shutdown.Waiting, sentAt: make([]time.Time, len(p.stages)), end: end,
	}
	s.running[x] = true
	return x
}

// finish records that a request has ended, and how long it took if all its stages ran.
func (s *stopState) finish(now time.Time, x *runningRequest, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, x)
	if o.Kind() != outcome.KindAnswered || len(x.sentAt) == 0 || x.sentAt[0].IsZero() {
		return
	}
	s.add(historyKey{x.pipeline, wholeRequest}, now.Sub(x.received))
	for i, at := range x.sentAt {
		s.add(historyKey{x.pipeline, i}, now.Sub(at))
	}
}

func (s *stopState) add(key historyKey, took time.Duration) {
	h := s.histories[key]
	if h == nil {
		h = &shutdown.History{}
		s.histories[key] = h
	}
	h.Add(shutdown.Sample{Total: took})
}

// await records that a request waits for a target or another attempt, and ends it if that would be too late. Between two stages a
// request does not wait.
func (s *stopState) await(now time.Time, x *runningRequest, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.stage, x.index = shutdown.Waiting, index
	if s.plan != nil && !x.isEnded && s.plan.MustEnd(now, x.stage, s.workOf(x)) {
		x.isEnded = true
		x.end(errStopping)
	}
}

// send records that a stage of a request is at a target.
func (s *stopState) send(now time.Time, x *runningRequest, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.stage, x.index, x.sentAt[index] = shutdown.Sent, index, now
}

// join records that a request waits for another one with its key, which runs at a target.
func (s *stopState) join(x *runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.stage = shutdown.Sent
}

// timeLeft returns how long a call that settles a request may take: during a planned stop no longer than its connections are open.
func (s *stopState) timeLeft(now time.Time, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		return longest
	}
	return max(0, min(longest, s.plan.EndsAt.Sub(now)))
}

// isStopped reports whether a planned stop has ended a request.
func isStopped(ctx context.Context, p plan) bool {
	return errors.Is(context.Cause(ctx), errStopping) || (p.isBounded && ctx.Err() != nil)
}
