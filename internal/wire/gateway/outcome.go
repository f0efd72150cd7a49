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

// outcome is the end of a request; written says that its answer is out already.
type outcome struct {
	kind    kind
	status  int
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

func refusal(reason string, retry time.Duration) *outcome {
	return &outcome{kind: refused, status: http.StatusServiceUnavailable, reason: reason, retry: retry}
}

func denial(status int, reason string) *outcome {
	return &outcome{kind: denied, status: status, reason: reason}
}

func failure(status int, reason string) *outcome {
	return &outcome{kind: failed, status: status, reason: reason}
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
	g.cfg.Meter.Request(name, string(o.kind), "", took)
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
		j.log["reason"] = o.reason
	}
	entry := g.cfg.Log.WithFields(logrus.Fields(j.log))
	if o.kind == answered {
		entry.Info("gateway: request")
		return
	}
	entry.Warn("gateway: request")
}
