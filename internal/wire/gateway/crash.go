package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
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

// quarantineRetry is the retry time of a request with a part in quarantine, which usually stays there for long.
const quarantineRetry = 30 * time.Second

// sharedParts returns the parts of a prompt that other requests may have; the last one is specific to the request.
func (rs *requestState) sharedParts() []quarantine.Part {
	list := rs.Prompt.Parts
	if len(list) < 2 {
		return nil
	}
	parts := make([]quarantine.Part, 0, len(list)-1)
	for _, p := range list[:len(list)-1] {
		parts = append(parts, quarantine.Part{Service: rs.service.Name, ID: p.ID})
	}
	return parts
}

// awaitCrashes waits until the reports of crashes are known to a node that has just started, if the request has parts that other
// requests may have.
func (g *Gateway) awaitCrashes(ctx context.Context, rs *requestState) {
	if len(rs.parts) == 0 {
		return
	}
	select {
	case <-g.cfg.CrashesKnown:
	case <-ctx.Done():
	}
}

// checkQuarantine returns the outcome of a request with a part in quarantine, nil for any other.
func (g *Gateway) checkQuarantine(now time.Time, rs *requestState) *outcome {
	verdict, ok := g.cfg.Quarantine.Check(now, rs.parts)
	if !ok {
		return nil
	}
	rs.log["quarantined"], rs.log["team"] = verdict.PartIDs(), rs.team.Name
	reason := "targets crash under a part of the prompt: " + strings.Join(verdict.PartIDs(), ", ")
	if rs.mayHaveRun {
		return failure(http.StatusBadGateway, causeQuarantined, reason)
	}
	return refusal(causeQuarantined, reason, quarantineRetry)
}

// recordCrash records that a target crashed under a request whose response broke off, if it did, and reports whether the
// request may not be sent again.
//
// A request whose response had just begun is the likely cause of the crash, and would end the next target too, unless each of its
// parts has been answered here before. Others that were at the target are sent again. Both only as long as few targets have crashed
// under their parts.
func (g *Gateway) recordCrash(ctx context.Context, rs *requestState, t registry.Target, at breakPoint) (noRepeat bool) {
	if at == notBroken || len(rs.parts) == 0 {
		return false
	}
	run, ok := g.crashedRun(ctx, t)
	if !ok {
		return false
	}
	now := g.cfg.Now()
	rs.log["crashed"] = t.ID
	g.cfg.Meter.CountCrash(rs.service.Name, string(at))
	g.cfg.Quarantine.RecordCrash(now, run, rs.parts, at == brokenBegun)
	return (at == brokenBegun && !g.cfg.Quarantine.AreKnown(rs.parts)) || g.cfg.Quarantine.IsSuspect(now, rs.parts)
}

// crashedRun returns the run of a target that is ready by all accounts and refuses connections, and false if there is none. Cut
// links, lost VMs and truncated answers look different. The target may have started again since the request was sent.
func (g *Gateway) crashedRun(ctx context.Context, t registry.Target) (notice.Target, bool) {
	current, ok := g.cfg.Registry().Target(t.ID)
	if !ok || current.State != registry.Ready || g.cfg.Notices.Board().Leaving(current.Run()) {
		return notice.Target{}, false
	}
	return current.Run(), g.cfg.Connections.IsRefused(ctx, current.Address)
}
