package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// breakPoint is how far a response had come when its connection ended without this node's doing.
type breakPoint string

const (
	// notBroken responses ended otherwise.
	notBroken breakPoint = ""
	// brokenUnanswered responses had no header yet.
	brokenUnanswered breakPoint = "unanswered"
	// brokenBegun responses had a header, and no complete event or body.
	brokenBegun breakPoint = "begun"
	// brokenMidway streams had complete events.
	brokenMidway breakPoint = "midway"
)

// bufferedBreak returns the break point of a response that is passed on as a whole; ctx is that of its send.
func bufferedBreak(ctx context.Context) breakPoint {
	if ctx.Err() != nil {
		return notBroken
	}
	return brokenBegun
}

const (
	// quarantineRetry is the retry time of a request in quarantine, which usually stays there for long.
	quarantineRetry = 30 * time.Second
	// reportWait bounds how long a request without a shared part waits at a node that has just started for the reports of
	// crashes.
	reportWait = 200 * time.Millisecond
)

// Quarantine decides which requests are kept from targets, or sent to them alone.
type Quarantine struct {
	*quarantine.Keeper
	// TakeTrial reports whether this node may send a request in quarantine to a target for the fleet; PassTrial is called when
	// the request was answered without an error.
	TakeTrial func(context.Context, quarantine.Trait) bool
	PassTrial func(quarantine.Trait)
	// ReportsRead is closed once the reports of crashes have been read, or have not come in time.
	ReportsRead <-chan struct{}
}

// suspectOf returns a request as far as it may crash targets. The last part of a prompt is specific to the request or its session.
func (rs *requestState) suspectOf() quarantine.Request {
	r := quarantine.Request{Service: rs.service.Name, Head: rs.Head(rs.team.Name), Body: rs.Body, Prompt: rs.Prompt.Name()}
	if list := rs.Prompt.Parts; len(list) > 1 {
		for _, p := range list[:len(list)-1] {
			r.Parts = append(r.Parts, p.ID)
		}
	}
	return r
}

// awaitReports waits until the reports of crashes are known to a node that has just started: for long if the request has parts that
// other requests may have.
func (g *Gateway) awaitReports(ctx context.Context, rs *requestState) {
	select {
	case <-g.cfg.Quarantine.ReportsRead:
		return
	default:
	}
	if len(rs.Prompt.Parts) < 2 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, reportWait)
		defer cancel()
	}
	select {
	case <-g.cfg.Quarantine.ReportsRead:
	case <-ctx.Done():
	}
}

// checkQuarantine returns the outcome of a request that is in quarantine itself, or whose pieces are; nil for any other. A trial that
// is due is not taken.
func (g *Gateway) checkQuarantine(now time.Time, rs *requestState) *outcome {
	if r, ok := g.cfg.Quarantine.Decide(now, rs.suspect).(quarantine.Reject); ok && !r.MayTry {
		return g.quarantined(rs, r.Verdict)
	}
	for i, s := range rs.route.Stages {
		if r, ok := g.cfg.Quarantine.Decide(now, quarantine.Pieces(s.Service, i, rs.identity)).(quarantine.Reject); ok && !r.MayTry {
			return g.quarantined(rs, r.Verdict)
		}
	}
	return nil
}

// quarantined returns the outcome of a request that a verdict applies to.
func (g *Gateway) quarantined(rs *requestState, v quarantine.Verdict) *outcome {
	rs.log["quarantined"], rs.log["kind"], rs.log["team"] = v.IDs(), string(v.Traits[0].Kind), rs.team.Name
	reason := "targets crash under this request: " + strings.Join(v.IDs(), ", ")
	if v.Traits[0].Kind == quarantine.PromptPart {
		reason = "targets crash under a part of the prompt: " + strings.Join(v.IDs(), ", ")
	}
	if rs.mayHaveRun {
		return failure(http.StatusBadGateway, causeQuarantined, reason)
	}
	return refusal(causeQuarantined, reason, quarantineRetry)
}

// clearance is whether a request that has a target may be sent to it now: it has its outcome, waits until another send has ended, or
// goes. Then onEnd is called when the send has ended, and isTrial is set if no further one may follow.
type clearance struct {
	outcome *outcome
	wait    <-chan struct{}
	onEnd   func(isComplete bool)
	isTrial bool
}

// clear returns whether a request may be sent now.
func (g *Gateway) clear(ctx context.Context, rs *requestState) clearance {
	switch d := g.cfg.Quarantine.Decide(g.cfg.Now(), rs.suspect).(type) {
	case quarantine.Reject:
		if !d.MayTry || !g.cfg.Quarantine.TakeTrial(ctx, d.Trait) {
			return clearance{outcome: g.quarantined(rs, d.Verdict)}
		}
		g.cfg.Log.WithFields(logrus.Fields{"request": rs.ID, "fingerprint": d.Trait.ID}).Warn("gateway: request in quarantine is tried once")
		return clearance{isTrial: true, onEnd: func(isComplete bool) {
			if isComplete {
				go g.cfg.Quarantine.PassTrial(d.Trait)
			}
		}}
	case quarantine.SendAlone:
		release, wait := g.alone.enter(d.Trait)
		return clearance{wait: wait, onEnd: func(bool) { release() }}
	default:
		return clearance{onEnd: func(bool) {}}
	}
}

// loneSends are the sends of requests that are sent alone, safe for concurrent use.
type loneSends struct {
	mu      sync.Mutex
	running map[quarantine.Trait]chan struct{}
}

// enter returns a function to call when the send of a request with a trait has ended, or a channel that is closed when the one
// under way has.
func (l *loneSends) enter(t quarantine.Trait) (release func(), wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if running, ok := l.running[t]; ok {
		return nil, running
	}
	if l.running == nil {
		l.running = map[quarantine.Trait]chan struct{}{}
	}
	done := make(chan struct{})
	l.running[t] = done
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.running, t)
		close(done)
	}), nil
}

// recordCrash records that a target crashed under a request whose response broke off, if it did, and reports whether the
// request may not be sent again.
//
// A request with a prompt whose response had just begun is the likely cause of the crash, and would end the next target too, unless
// each of its parts has been answered here before. Others that were at the target are sent again. Both only as long as few targets
// have crashed under their parts.
func (g *Gateway) recordCrash(ctx context.Context, rs *requestState, t registry.Target, at breakPoint) (noRepeat bool) {
	if at == notBroken {
		return false
	}
	run, ok := g.cfg.CrashedRun(ctx, t)
	if !ok {
		return false
	}
	now := g.cfg.Now()
	rs.log["crashed"] = t.ID
	g.cfg.Meter.CountCrash(rs.service.Name, string(at))
	g.cfg.Quarantine.RecordCrash(now, run, rs.suspect, at == brokenBegun)
	return (at == brokenBegun && !g.cfg.Quarantine.AreKnown(rs.suspect)) || g.cfg.Quarantine.IsSuspect(now, rs.suspect)
}

// addCrashContext adds what relates failed attempts to the crash of a target: its run, how many more requests of this node
// were there, the content of the request and what its prompt is composed of.
func (g *Gateway) addCrashContext(fields logrus.Fields, rs *requestState, t registry.Target) {
	fields["started"] = t.StartedAt
	fields["fingerprint"] = g.cfg.Quarantine.Name(rs.suspect)
	fields["running"] = g.loads.running(t.ID)
	if len(rs.Prompt.Parts) > 0 {
		fields["parts"] = rs.Prompt.PartIDs()
	}
}
