package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// kind is what became of a request.
type kind string

const (
	// answered requests got a target's whole answer.
	answered kind = "answered"
	// refused requests did not run and never will.
	refused kind = "refused"
	// denied requests are not allowed by the configuration.
	denied kind = "denied"
	// failed requests may have run.
	failed kind = "failed"
	// gone requests lost their caller.
	gone kind = "gone"
	// broken answers ended early, after their header was sent.
	broken kind = "broken"
)

// cause is why a request was not answered: the label of its metric, while reason tells more.
type cause string

const (
	// A node lacks a configuration, or the service in it.
	causeUnready cause = "unready"
	// The configuration does not allow the request.
	causeRoute cause = "route"
	causeKey   cause = "key"
	causeSize  cause = "size"
	// The node is stopping and begins no long streams.
	causeStopping cause = "stopping"
	// The stages could not begin the request's pieces in time, or one of them was lost or late on the way.
	causeCrowded cause = "crowded"
	causePiece   cause = "piece"
	// A result was gone before the request's target had read it.
	causeLost cause = "lost"
	// What became of the last send.
	causeNoTarget  cause = "notarget"
	causeUnreached cause = "unreached"
	causeNotRun    cause = "notrun"
	causeSilent    cause = "silent"
	causeCut       cause = "cut"
	causeForeign   cause = "foreign"
	causeUnresumed cause = "unresumed"
	causeTimeout   cause = "timeout"
	causeCaller    cause = "caller"
)

// outcome is the end of a request; written says that its answer is out already.
type outcome struct {
	kind    kind
	status  int
	cause   cause
	reason  string
	retry   time.Duration
	written bool
	// abort cuts the connection, so that an unfinished answer does not look whole.
	abort bool
	// inputGone says that a result the request needs was lost, so that its stages may be run once more.
	inputGone bool
	// later writes an answer that was kept while other attempts were made; it may be nil.
	later func()
}

func refusal(c cause, reason string, retry time.Duration) *outcome {
	return &outcome{kind: refused, status: http.StatusServiceUnavailable, cause: c, reason: reason, retry: retry}
}

func denial(status int, c cause, reason string) *outcome {
	return &outcome{kind: denied, status: status, cause: c, reason: reason}
}

func failure(status int, c cause, reason string) *outcome {
	return &outcome{kind: failed, status: status, cause: c, reason: reason}
}

func callerLeft() *outcome {
	return &outcome{kind: gone, cause: causeCaller, reason: "caller left", abort: true}
}

// write sends an answer of our own.
func (o *outcome) write(w http.ResponseWriter) {
	if o.written || o.abort {
		return
	}
	if o.later != nil {
		o.later()
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	if o.kind == refused {
		h.Set("Retry-After", strconv.FormatFloat(spread(max(o.retry, minRetry), rand.Float64()).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(o.status)
	// A caller that is gone needs no answer.
	_, _ = w.Write([]byte(o.reason + "\n"))
}

// returnSpread is the part of a return time over which those who are refused in one moment are spread.
const returnSpread = 0.3

// spread lengthens a return time; draw is uniform in [0, 1).
func spread(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(returnSpread*draw*float64(d))
}

// minRetry keeps refused callers from coming back at once.
const minRetry = 50 * time.Millisecond

// report logs and counts the end of a request.
func (g *Gateway) report(j *job, o *outcome) {
	now := g.cfg.Now()
	took := now.Sub(j.Received)
	name := j.route.Name
	if name == "" {
		name = "none"
	}
	g.cfg.Meter.RecordRequest(name, string(o.kind), string(o.cause), took)
	j.log["request"] = j.ID
	j.log["route"] = name
	j.log["outcome"] = string(o.kind)
	j.log["status"] = o.status
	j.log["ms"] = took.Milliseconds()
	j.log["sends"] = j.sends
	if j.table != nil {
		j.log["version"] = j.table.Version
	}
	if o.reason != "" {
		j.log["cause"] = string(o.cause)
		j.log["reason"] = o.reason
	}
	if o.kind == refused {
		j.log["return_ms"] = o.retry.Milliseconds()
	}
	entry := g.cfg.Log.WithFields(logrus.Fields(j.log))
	if o.kind == answered {
		entry.Info("gateway: request")
		return
	}
	entry.Warn("gateway: request")
}
