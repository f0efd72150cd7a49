package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/coldstart"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/balancer"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/call"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
)

const (
	// maxUnsent bounds the targets that are tried without a byte having been sent.
	maxUnsent = 4
	// moveShare is the part of the remaining time after which a repeatable request that has had no answer is
	// moved to another target.
	moveShare = 3
)

// errMoved ends a send that takes too long while another target may be tried.
var errMoved = errors.New("target did not answer in time for another attempt")

// step is what to do after one send.
type step struct {
	// out is set if the request has its outcome.
	out *outcome
	// last is the outcome if no further send is made.
	last *outcome
	// ran says that the target may have run the request.
	ran bool
	// counts says that the send counts against the attempts of the route.
	counts bool
}

// forward sends a request to targets until one answers it.
func (g *Gateway) forward(ctx context.Context, r *http.Request, j *job, s *answer) *outcome {
	tried := map[string]bool{}
	last := refusal(causeNoTarget, "service has no target that may be used", retrySoon)
	for unsent := 0; unsent < maxUnsent; {
		now := g.cfg.Now()
		if r.Context().Err() != nil {
			return callerLeft()
		}
		if ctx.Err() != nil {
			return g.timedOut(s, j.ran)
		}
		if j.sends >= j.route.MaxAttempts || (j.ran && !j.route.IsRetryable()) {
			return last
		}
		c, ok := g.place(now, j, tried)
		if !ok {
			return last
		}
		t := c.Target
		if j.sends > 0 && !g.AllowRetry(now, j.service.Name) {
			g.loads.read(now, t.ID, j.Prompt.InputTokens)
			g.loads.end(now, t.ID, false)
			last.reason += "; no budget for another attempt"
			return last
		}
		tried[t.ID] = true
		g.placed(now, j, c, len(tried))
		st := g.send(ctx, r, j, s, t)
		g.cfg.Meter.RecordSend(j.service.Name, st.result(), g.cfg.Now().Sub(now))
		if st.counts || st.out != nil {
			j.sends++
		} else {
			unsent++
		}
		if st.out != nil {
			return st.out
		}
		last = st.last
		j.ran = j.ran || st.ran
	}
	return last
}

func (g *Gateway) timedOut(s *answer, ran bool) *outcome {
	if s.begun {
		return &outcome{kind: broken, cause: causeTimeout, reason: "time-out of the route", abort: true}
	}
	if ran {
		return failure(http.StatusGatewayTimeout, causeTimeout, "time-out of the route")
	}
	return refusal(causeTimeout, "time-out of the route before a send", retrySoon)
}

// ask says what is to be placed.
func (g *Gateway) ask(j *job) balancer.Request {
	ask := balancer.Request{LocalDatacentre: g.cfg.Datacentre, PromptTokens: j.Prompt.InputTokens}
	if j.route.CarriesPrompt {
		ask.AffinityKey, ask.SharedTokens = j.Prompt.SharedPrefix()
	}
	return ask
}

// home is the data centre in which the target of a request is likely to be.
func (g *Gateway) home(now time.Time, j *job) string {
	list := balancer.Order(now, g.ask(j), g.loads.candidates(now, g.cfg.Roster().Usable(j.service.Name), nil))
	if len(list) == 0 {
		return ""
	}
	return list[0].Target.Datacentre
}

// place chooses a target and counts the request there.
func (g *Gateway) place(now time.Time, j *job, tried map[string]bool) (balancer.Candidate, bool) {
	fleet := g.cfg.Roster()
	ask := g.ask(j)
	list := g.loads.candidates(now, fleet.Usable(j.service.Name), tried)
	for _, c := range balancer.Order(now, ask, list) {
		share := 0
		if c.Target.Cold(now) {
			bound := j.service.ColdRateLimit*g.cfg.ColdLimit.Factor + g.cfg.ColdLimit.Extra
			share = coldstart.NodeShare(c.Target.ID, g.cfg.Self, fleet.NodeNames(), bound)
			if j.service.ColdRateLimit == 0 {
				share = int(bound)
			}
		}
		if g.loads.begin(now, c.Target, j.Prompt.InputTokens, share) {
			return c, true
		}
	}
	return balancer.Candidate{}, false
}

// placed logs where a request goes and what spoke for it.
func (g *Gateway) placed(now time.Time, j *job, c balancer.Candidate, try int) {
	g.cfg.Log.WithFields(logrus.Fields{
		"request": j.ID, "target": c.Target.ID, "datacentre": c.Target.Datacentre, "service": j.service.Name, "try": try, "running": c.Running, "unread": c.PendingTokens,
		"avoid": c.InBackoff, "cold": c.Target.Cold(now), "revision": c.Target.Version, "left_ms": j.end.Sub(now).Milliseconds(),
	}).Info("gateway: target chosen")
}

// result names what came of a send.
func (s step) result() string {
	o := s.out
	if o == nil {
		o = s.last
	}
	if o.cause != "" {
		return string(o.cause)
	}
	return string(o.kind)
}

// patience is how long a target may take to its answer's header before the request is moved to another one.
func (g *Gateway) patience(now time.Time, j *job) time.Duration {
	if !j.route.IsRetryable() || j.sends+1 >= j.route.MaxAttempts {
		return 0
	}
	return max(j.route.LatencyObjective, j.end.Sub(now)/moveShare)
}

// send makes one attempt and passes the answer on.
func (g *Gateway) send(ctx context.Context, r *http.Request, j *job, s *answer, t registry.Target) step {
	started := g.cfg.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.begins = nil
	if p := g.patience(started, j); p > 0 {
		move := time.AfterFunc(p, func() { cancel(errMoved) })
		defer move.Stop()
		s.begins = func() { move.Stop() }
	}
	after := j.LastEventID
	if s.begun {
		after = s.last
	}
	req := connection.Request{
		Method: j.Method, URI: j.URI, Host: j.Host, Body: j.Body,
		Header: g.cfg.Headers.ForwardHeader(j.Call, call.ForwardOptions{
			Target: t.ID, Team: j.team.Name, TimeLeft: j.end.Sub(started) + answerMargin, InputHandles: j.inputs, LastEventID: after,
		}),
		IsMismatched: func(h http.Header) bool { return g.cfg.Headers.ParseResponseFlags(j.ID, 0, h).Mismatched },
	}
	j.log["target"] = t.ID
	unread := j.Prompt.InputTokens
	reading := func() {
		g.loads.read(g.cfg.Now(), t.ID, unread)
		unread = 0
	}
	defer reading()
	a, err := g.cfg.Connections.Send(ctx, t.Address, req)
	if err != nil {
		return g.unanswered(ctx, r, j, s, t, err)
	}
	defer a.Body.Close()
	s.first = func() {
		reading()
		g.firstSeen(j, g.cfg.Now().Sub(started))
		g.release(j)
	}
	mark := g.cfg.Headers.ParseResponseFlags(j.ID, a.Status, a.Header)
	st := g.judge(ctx, r, j, s, a, mark)
	bad := st.out == nil || st.out.kind == broken
	wait := g.loads.end(g.cfg.Now(), t.ID, bad && r.Context().Err() == nil)
	if bad {
		g.complain(j, t, a.Status, mark, st, wait)
	}
	return st
}

func (g *Gateway) complain(j *job, t registry.Target, status int, mark call.ResponseFlags, st step, wait time.Duration) {
	reason := ""
	if st.last != nil {
		reason = st.last.reason
	} else if st.out != nil {
		reason = st.out.reason
	}
	g.cfg.Log.WithFields(logrus.Fields{
		"request": j.ID, "target": t.ID, "status": status, "not_run": mark.NotRun, "sealed": mark.Signed,
		"reason": reason, "avoid_ms": wait.Milliseconds(),
	}).Warn("gateway: attempt failed")
}

// unanswered settles a send that brought no answer.
func (g *Gateway) unanswered(ctx context.Context, r *http.Request, j *job, s *answer, t registry.Target, err error) step {
	now := g.cfg.Now()
	left := r.Context().Err() != nil
	wait := g.loads.end(now, t.ID, !left)
	unsent := errors.Is(err, connection.ErrUnsent)
	if !left {
		g.cfg.Connections.CloseIdle(t.Address)
		g.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": j.ID, "target": t.ID, "sent": !unsent, "avoid_ms": wait.Milliseconds(),
		}).Warn("gateway: attempt failed")
	}
	if left {
		return step{out: callerLeft()}
	}
	if unsent {
		return step{last: refusal(causeUnreached, "targets cannot be reached", retrySoon)}
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved) {
		return step{out: g.timedOut(s, true)}
	}
	if s.begun {
		return step{last: &outcome{kind: broken, cause: causeCut, reason: "stream was cut", abort: true}, ran: true, counts: true}
	}
	return step{last: failure(http.StatusBadGateway, causeSilent, "target gave no answer"), ran: true, counts: true}
}

// judge decides what an answer's header means and passes the answer on if it is to be.
func (g *Gateway) judge(ctx context.Context, r *http.Request, j *job, s *answer, a *connection.Response, mark call.ResponseFlags) step {
	if mark.InputLost {
		drain(a)
		out := refusal(causeLost, "a result was lost before the request had read it", retrySoon)
		out.inputGone = true
		return step{out: out}
	}
	if mark.NotRun {
		drain(a)
		return step{last: refusal(causeNotRun, "target did not run the request", retrySoon), counts: true}
	}
	success := a.Status >= 200 && a.Status < 300
	if success && (!mark.Signed || a.Header.Get("Content-Encoding") != "") {
		return step{last: failure(http.StatusBadGateway, causeForeign, "answer is not the target's"), ran: true, counts: true}
	}
	if s.begun {
		if !success {
			return step{last: &outcome{kind: broken, cause: causeUnresumed, reason: "stream was not resumed", abort: true}, ran: true, counts: true}
		}
		return s.stream(ctx, r, a, true)
	}
	again := j.sends+1 < j.route.MaxAttempts && j.route.IsRetryable()
	if a.Status >= 500 && again {
		kept, err := keep(a)
		if err == nil {
			return step{last: kept.outcome(s.w), ran: true, counts: true}
		}
		return step{last: failure(http.StatusBadGateway, causeCut, "answer was cut"), ran: true, counts: true}
	}
	if j.route.RetryPolicy == route.Streaming && success {
		return s.stream(ctx, r, a, j.route.Resumable)
	}
	kept, err := keep(a)
	if err != nil {
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved) {
			return step{out: g.timedOut(s, true)}
		}
		return step{last: failure(http.StatusBadGateway, causeCut, "answer was cut"), ran: true, counts: true}
	}
	s.first()
	return step{out: kept.send(s.w)}
}

// firstRest is the time to the first byte of a model's answer before one was measured.
const firstRest = 150 * time.Millisecond

// firstSeen takes the time from a send to the first byte of its answer into the average of the service.
func (g *Gateway) firstSeen(j *job, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, ok := g.firsts[j.service.Name]
	if !ok {
		before = took
	}
	g.firsts[j.service.Name] = before + (took-before)/8
}

// first is the usual time from a send to the first byte of an answer.
func (g *Gateway) first(j *job) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, ok := g.firsts[j.service.Name]; ok {
		return d
	}
	return firstRest
}
