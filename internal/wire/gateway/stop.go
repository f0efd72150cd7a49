package gateway

import (
	"context"
	"errors"
	"net/http"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
)

// errStopping ends a request for which the rest of a planned stop is too short.
var errStopping = errors.New("node is stopping")

// runningRequest is what a planned stop needs to know of a request; the gateway's lock guards it.
type runningRequest struct {
	id           string
	route        string
	service      string
	received     time.Time
	deadline     time.Time
	outputTokens int
	// objective is how long a request may take by its route, 0 for streams: it bounds only their first byte.
	objective time.Duration
	stage     shutdown.Stage
	// hasStages is set for a request with stages, needsInputs while these run, since stagesAt, until it is sent with their results, first
	// at sentAt. firstByteAt is when a part of its response was first passed on.
	hasStages   bool
	needsInputs bool
	stagesAt    time.Time
	sentAt      time.Time
	firstByteAt time.Time
	// end ends what the request does now; isEnded is set once the stop has called it.
	end     func(error)
	isEnded bool
}

// Drain makes the gateway accept only what ends before a planned stop does. The caller has to call Review now and then.
func (g *Gateway) Drain(p shutdown.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = &p
}

// Review ends the requests for which the rest of a planned stop is too short. The plan may have changed since Drain.
func (g *Gateway) Review(now time.Time, p shutdown.Plan) {
	for _, fields := range g.endDue(now, p) {
		g.cfg.Log.WithFields(fields).Warn("gateway: request ended by the stop")
	}
}

// endDue ends the requests that have to be ended now, and returns what the log says of each.
func (g *Gateway) endDue(now time.Time, p shutdown.Plan) []logrus.Fields {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ended []logrus.Fields
	g.stop = &p
	for x := range g.running {
		if x.isEnded || x.end == nil || !p.MustEnd(now, x.stage, g.workOf(now, x)) {
			continue
		}
		x.isEnded = true
		ended = append(ended, logrus.Fields{"request": x.id, "stage": string(x.stage), "left_ms": p.EndsAt.Sub(now).Milliseconds()})
		x.end(errStopping)
	}
	return ended
}

// workOf returns what is known of the rest of a request whose response has not begun; the lock is held.
func (g *Gateway) workOf(now time.Time, x *runningRequest) shutdown.Work {
	w := shutdown.Work{Deadline: x.deadline}
	var total, first time.Duration
	if h := g.histories[x.route]; h != nil {
		total, first, w.HasExpected = h.Expected(x.outputTokens)
	}
	if !w.HasExpected {
		w.Expected, w.HasExpected = x.objective, x.objective > 0
		if x.needsInputs {
			w.Expected = max(x.objective-now.Sub(x.stagesAt), min(g.firstByteTimes[x.service], x.objective))
		}
		return w
	}
	firstByte := min(g.firstByteTimes[x.service], first)
	afterStages, isWhole := g.histories[x.route].ExpectedAfterStages()
	switch {
	case x.needsInputs && isWhole:
		w.Expected = max(total-now.Sub(x.stagesAt), afterStages)
	case x.hasStages && isWhole:
		w.Expected = afterStages
	case x.needsInputs:
		w.Expected = max(first-now.Sub(x.stagesAt), firstByte) + total - first
	default:
		w.Expected = firstByte + total - first
	}
	return w
}

// admitDuringStop returns nil if a request may be served, or its refusal if it may not end before a planned stop does.
func (g *Gateway) admitDuringStop(now time.Time, rs *requestState) *outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := rs.run
	x.route, x.service, x.deadline, x.outputTokens = rs.route.Name, rs.service.Name, rs.deadline.Add(responseMargin), rs.Prompt.OutputTokens
	x.hasStages = len(rs.route.Stages) > 0
	x.needsInputs, x.stagesAt = x.hasStages, x.received
	if rs.route.RetryPolicy != route.Streaming {
		x.objective = rs.route.LatencyObjective
	}
	if g.stop == nil {
		return nil
	}
	work := g.workOf(now, x)
	verdict := g.stop.Admit(now, work)
	rs.log["admission"], rs.log["timeout_ms"] = string(verdict), work.Deadline.Sub(now).Milliseconds()
	if work.HasExpected {
		rs.log["expected_ms"] = work.Expected.Milliseconds()
	}
	switch verdict {
	case shutdown.Reject:
		return refusal(causeStopping, "node is stopping", 0)
	case shutdown.AcceptBounded:
		end := g.stop.AnswerBy
		if rs.route.RetryPolicy == route.Streaming {
			end = g.stop.EndsAt
		}
		rs.isBounded = true
		rs.deadline = end.Add(-responseMargin)
		if rs.firstByteBy.After(rs.deadline) {
			rs.firstByteBy = rs.deadline
		}
	}
	return nil
}

// isTooLate reports whether a send that begins now would not end before a planned stop does.
func (g *Gateway) isTooLate(now time.Time, rs *requestState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stop != nil && g.stop.MustEnd(now, rs.run.stage, g.workOf(now, rs.run))
}

// beginResponse records that a response begins, and reports whether it may: at the end of a planned stop it could only be cut.
func (g *Gateway) beginResponse(now time.Time, rs *requestState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := rs.run
	x.firstByteAt = now
	if g.stop != nil && g.stop.MustEnd(now, shutdown.Begun, shutdown.Work{}) {
		return false
	}
	x.stage = shutdown.Begun
	return true
}

// isEndedByStop reports whether a planned stop has ended a request whose time is over.
func isEndedByStop(ctx context.Context, rs *requestState) bool {
	return errors.Is(context.Cause(ctx), errStopping) || (rs.isBounded && errors.Is(ctx.Err(), context.DeadlineExceeded))
}

// timeout returns the outcome of a request whose time is over.
func (g *Gateway) timeout(ctx context.Context, rs *requestState, rw *responseWriter, mayHaveRun bool) *outcome {
	var out *outcome
	switch {
	case rw.headerSent:
		out = &outcome{kind: truncated, cause: causeTimeout, reason: "time-out of the route", abort: true}
	case mayHaveRun:
		out = failure(http.StatusGatewayTimeout, causeTimeout, "time-out of the route")
	default:
		out = refusal(causeTimeout, "time-out of the route before a send", shortRetry)
	}
	if isEndedByStop(ctx, rs) {
		return out.withStop()
	}
	return out
}

// setEnd sets what ends the request at the end of a planned stop, and reports whether the stop has ended it already.
func (g *Gateway) setEnd(rs *requestState, end func(error)) (isEnded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rs.run.end = end
	if rs.run.isEnded && end != nil {
		end(errStopping)
	}
	return rs.run.isEnded
}

// setStage records how far a request has come. A response that has begun stays so while it waits for another target.
func (g *Gateway) setStage(rs *requestState, s shutdown.Stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := rs.run
	if s == shutdown.Sent {
		x.needsInputs = false
		if x.sentAt.IsZero() {
			x.sentAt = g.cfg.Now()
		}
	}
	if x.stage != shutdown.Begun {
		x.stage = s
	}
}

// beginStages records that the stages of a request run, the first or a further time.
func (g *Gateway) beginStages(now time.Time, rs *requestState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rs.run.needsInputs, rs.run.stagesAt = true, now
}

// begin records that a request is being served, and what its line in the log says if the node is stopping.
func (g *Gateway) begin(r *http.Request, rs *requestState) {
	isKept := countRequest(r)
	rs.run = &runningRequest{id: rs.ID, received: rs.Received, deadline: rs.Received, stage: shutdown.Waiting}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[rs.run] = true
	if g.stop != nil {
		rs.log["stop_left_ms"] = g.stop.EndsAt.Sub(rs.Received).Milliseconds()
		rs.log["kept"] = isKept
	}
}

// end records that a request is no longer served, and how long it took.
func (g *Gateway) end(rs *requestState, o *outcome) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	x := rs.run
	delete(g.running, x)
	if o.kind == cancelled && g.stop != nil && !now.Before(g.stop.EndsAt) {
		// The node has closed the connection.
		o.cause, o.reason = causeStopping, "node stopped"
	}
	if x.isEnded || (o.kind != answered && o.kind != failed) {
		return
	}
	h := g.histories[x.route]
	if h == nil {
		h = &shutdown.History{}
		g.histories[x.route] = h
	}
	sample := shutdown.Sample{Total: now.Sub(x.received), OutputTokens: x.outputTokens}
	switch {
	case !x.firstByteAt.IsZero():
		sample.First = x.firstByteAt.Sub(x.received)
	case x.hasStages && !x.sentAt.IsZero():
		sample.AfterStages = now.Sub(x.sentAt)
	}
	h.Add(sample)
}

// Running returns the IDs of the requests that are being served.
func (g *Gateway) Running() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for x := range g.running {
		ids = append(ids, x.id)
	}
	sort.Strings(ids)
	return ids
}
