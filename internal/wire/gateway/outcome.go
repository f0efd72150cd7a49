package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// outcomeKind is how a request ended.
type outcomeKind string

const (
	// answered requests got a target's complete response.
	answered outcomeKind = "answered"
	// refused requests did not run and never will.
	refused outcomeKind = "refused"
	// denied requests are not allowed by the configuration.
	denied outcomeKind = "denied"
	// failed requests may have run.
	failed outcomeKind = "failed"
	// cancelled requests lost their caller.
	cancelled outcomeKind = "gone"
	// truncated responses ended early, after their header was sent.
	truncated outcomeKind = "broken"
)

// cause is why a request was not answered: the label of its metric, while reason has the details.
type cause string

const (
	// A node lacks a configuration, or the service in it.
	causeUnready cause = "unready"
	// The configuration does not allow the request.
	causeRoute cause = "route"
	causeKey   cause = "key"
	causeSize  cause = "size"
	// The header of the request has a number that cannot be used.
	causeHeader cause = "header"
	// The body of the request was not received in time.
	causeBody cause = "body"
	// Clients hold all memory that requests may have.
	causeMemory cause = "memory"
	// The node is stopping, and the request would not end in time.
	causeStopping cause = "stopping"
	// The stages could not start the request's pieces in time, or a piece was lost or late.
	causeOverloaded cause = "crowded"
	causePiece      cause = "piece"
	// A result was lost before the request's target had read it.
	causeInputLost cause = "lost"
	// The result of the last send.
	causeNoTarget    cause = "notarget"
	causeBusy        cause = "busy"
	causeLimited     cause = "limited"
	causeUnreachable cause = "unreached"
	causeNotRun      cause = "notrun"
	causeNoResponse  cause = "silent"
	causeTruncated   cause = "cut"
	causeMismatched  cause = "foreign"
	causeNotResumed  cause = "unresumed"
	causeTimeout     cause = "timeout"
	// Targets crash under a part of the prompt.
	causeQuarantined cause = "quarantined"
	causeCaller      cause = "caller"
)

// outcome is the end of a request; written is set if its response has already been sent.
type outcome struct {
	kind   outcomeKind
	status int
	cause  cause
	// reason is also the body of the gateway's own response; err is only logged.
	reason     string
	err        error
	retryAfter time.Duration
	written    bool
	// abort cuts the connection, so that an incomplete response does not look complete.
	abort bool
	// inputLost is set if a result that the request needs was lost, so that its stages may run once more.
	inputLost bool
	// writeBuffered writes a response that was buffered while other attempts were made; it may be nil.
	writeBuffered func()
}

// isPromise reports whether a status tells callers that their request did not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func refusal(c cause, reason string, retry time.Duration) *outcome {
	return &outcome{kind: refused, status: http.StatusServiceUnavailable, cause: c, reason: reason, retryAfter: retry}
}

func denial(status int, c cause, reason string) *outcome {
	return &outcome{kind: denied, status: status, cause: c, reason: reason}
}

func failure(status int, c cause, reason string) *outcome {
	return &outcome{kind: failed, status: status, cause: c, reason: reason}
}

// withError returns the outcome with the error that led to it.
func (o outcome) withError(err error) *outcome {
	o.err = err
	return &o
}

// withInputLost returns the outcome of a request that may be sent again once its stages have run again.
func (o outcome) withInputLost() *outcome {
	o.inputLost = true
	return &o
}

// withStop returns the outcome with a planned stop as its cause. What has not run is refused, so that its caller goes elsewhere.
func (o outcome) withStop() *outcome {
	if o.written || o.kind == answered || o.kind == denied {
		return &o
	}
	o.cause, o.reason = causeStopping, "node is stopping"
	o.retryAfter, o.inputLost = 0, false
	return &o
}

// stopFailure is the outcome of a response that has not begun at the end of a planned stop.
func stopFailure() *outcome {
	return failure(http.StatusGatewayTimeout, causeStopping, "node is stopping")
}

func cancellation() *outcome {
	return &outcome{kind: cancelled, cause: causeCaller, reason: "caller left", abort: true}
}

// write sends the buffered response or the gateway's own, unless a response has been sent or the connection is cut.
func (o *outcome) write(w http.ResponseWriter) {
	if o.written || o.abort {
		return
	}
	if o.writeBuffered != nil {
		o.writeBuffered()
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	if o.kind == refused {
		h.Set("Retry-After", strconv.FormatFloat(addJitter(max(o.retryAfter, minRetryAfter), rand.Float64()).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(o.status)
	// A caller that is gone needs no response.
	_, _ = w.Write([]byte(o.reason + "\n"))
}

// retryJitter is the part of a retry time over which callers refused at the same moment are spread.
const retryJitter = 0.3

// addJitter lengthens a retry time; draw is uniform in [0, 1).
func addJitter(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(retryJitter*draw*float64(d))
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 50 * time.Millisecond

// recordOutcome logs and counts the end of a request.
func (g *Gateway) recordOutcome(rs *requestState, o *outcome) {
	now := g.cfg.Now()
	took := now.Sub(rs.Received)
	name := rs.route.Name
	if name == "" {
		name = "none"
	}
	g.cfg.Meter.RecordRequest(name, string(o.kind), string(o.cause), took)
	rs.log["request"] = rs.ID
	rs.log["route"] = name
	rs.log["outcome"] = string(o.kind)
	rs.log["status"] = o.status
	rs.log["ms"] = took.Milliseconds()
	rs.log["sends"] = rs.sends
	if rs.keeper != "" {
		rs.log["keeper"] = rs.keeper
	}
	if len(rs.Prompt.Parts) > 0 {
		rs.log["parts"] = rs.Prompt.PartIDs()
	}
	if rs.LastEventID != "" {
		rs.log["resumed_after"] = rs.LastEventID
	}
	if rs.table != nil {
		rs.log["version"] = rs.table.Version
		rs.log["key"] = string(rs.table.KeyState(rs.APIKey))
	}
	if rs.route.Public {
		rs.log["public"] = true
	}
	if rs.team.Name != "" {
		rs.log["team"] = rs.team.Name
	}
	if o.reason != "" {
		rs.log["cause"] = string(o.cause)
		rs.log["reason"] = o.reason
	}
	if o.err != nil {
		rs.log[logrus.ErrorKey] = o.err.Error()
	}
	if o.kind == refused {
		rs.log["return_ms"] = o.retryAfter.Milliseconds()
	}
	entry := g.cfg.Log.WithFields(logrus.Fields(rs.log))
	if o.kind == answered {
		entry.Info("gateway: request")
		return
	}
	entry.Warn("gateway: request")
}
