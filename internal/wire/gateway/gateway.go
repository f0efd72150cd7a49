package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/budget"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/call"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/intake"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit"
)

const (
	// defaultBodyBytes bounds a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// shortRetry is the retry time for causes that usually pass quickly, such as a node without configuration.
	shortRetry = 300 * time.Millisecond
	// memoryRetry is the retry time while clients hold all memory that requests may have: what they stop sending or reading is closed
	// after about two seconds.
	memoryRetry = time.Second
	// responseMargin is the part of a route's timeout reserved for sending the response to the caller.
	responseMargin = 20 * time.Millisecond
)

// HeaderCodec reads and writes the headers of the callers' and targets' protocol.
type HeaderCodec interface {
	// ParseRequest reads a request without its body.
	ParseRequest(now time.Time, r *http.Request) call.Call
	// ForwardHeader returns the header to send to a target.
	ForwardHeader(c call.Call, o call.ForwardOptions) http.Header
	// ParseResponseFlags reads what a response header says about the call with an ID.
	ParseResponseFlags(id string, status int, h http.Header) call.ResponseFlags
	// ParseNotices reads what a response header says about its target; the error describes a value that cannot be used.
	ParseNotices(status int, h http.Header) ([]notice.Notice, error)
}

// Meter records the metrics of a gateway.
type Meter interface {
	// RecordRequest counts a finished request by its route and outcome.
	RecordRequest(pipeline, outcome, reason string, took time.Duration)
	// RecordSend counts an attempt at a target of a service by its result.
	RecordSend(service, result string, took time.Duration)
	// CountResponse counts a response of a target by how its body was framed and whether it was read to its end.
	CountResponse(service, framing string, isComplete bool)
	// CountHeldEvent counts an event of a target of a service that was held back from its caller, by the reason.
	CountHeldEvent(service, reason string)
	// CountLimitedSend counts a request that is sent to a target of a service with a limit.
	CountLimitedSend(service string)
	// CountCrash counts a crash of a target of a service under a request, by how far its response had come.
	CountCrash(service, progress string)
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Self is the name of this node, Datacentre its data centre.
	Self       string
	Datacentre string
	// StartedAt is when this node started.
	StartedAt   time.Time
	Headers     HeaderCodec
	Connections *connection.Pool
	Dispatch    *dispatch.Client
	Table       func() *route.Table
	Registry    func() *registry.Registry
	Notices     *notice.Keeper
	Permits     *permit.Client
	// Rollouts may be nil for a deployment without rollouts.
	Rollouts   *rollout.Keeper
	Quarantine Quarantine
	// CrashedRun returns the run of a target that has crashed, and false if it has not.
	CrashedRun  func(context.Context, registry.Target) (notice.Target, bool)
	RetryBudget settings.RetryBudget
	ColdLimit   settings.ColdLimit
	Log         logrus.FieldLogger
	Meter       Meter
	Now         func() time.Time
}

// Gateway serves callers.
type Gateway struct {
	cfg   Config
	loads targetLoads
	alone loneSends

	mu           sync.Mutex
	retryWindows map[string]*budget.RetryWindow
	// longestTimeouts is the longest timeout that callers have sent, by route; firstByteTimes is the average time to
	// the first byte, by service; meanSizes is the average size of a route's requests in tokens.
	longestTimeouts map[string]time.Duration
	firstByteTimes  map[string]time.Duration
	meanSizes       map[string]float64
	lastClaim       uint64
	// histories has how long the requests of each route took.
	histories map[string]*shutdown.History
	// stop is the plan of a planned stop, nil before it; running are the requests that are being served.
	stop    *shutdown.Plan
	running map[*runningRequest]bool
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, loads: newLoads(), retryWindows: map[string]*budget.RetryWindow{}, longestTimeouts: map[string]time.Duration{}, firstByteTimes: map[string]time.Duration{}, meanSizes: map[string]float64{}, histories: map[string]*shutdown.History{}, running: map[*runningRequest]bool{}}
}

func (g *Gateway) retryLimits() budget.RetryLimits {
	r := g.cfg.RetryBudget
	return budget.RetryLimits{Ratio: r.Ratio, Extra: r.Extra, Window: r.Window}
}

func (g *Gateway) retryWindow(service string) *budget.RetryWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.retryWindows[service]
	if !ok {
		w = &budget.RetryWindow{}
		g.retryWindows[service] = w
	}
	return w
}

// RecordFirstSend counts the first send of a request or piece to a service.
func (g *Gateway) RecordFirstSend(now time.Time, service string) {
	g.retryWindow(service).CountRequest(now, g.retryLimits())
}

// AllowRetry asks the retry budget of a service for one more send.
func (g *Gateway) AllowRetry(now time.Time, service string) bool {
	return g.retryWindow(service).Take(now, g.retryLimits(), len(g.cfg.Registry().NodeNames()))
}

// requestState is the state of one request.
type requestState struct {
	call.Call
	// conn is the connection of the caller, nil if it has no bounds.
	conn    *intake.Conn
	table   *route.Table
	route   route.Route
	service route.Service
	team    route.Team
	// suspect is the request as far as it may crash targets, identity identifies its content.
	suspect  quarantine.Request
	identity []byte
	// objective is when a response is wanted, firstByteBy when it must have begun, and deadline when it must be
	// complete.
	objective   time.Time
	firstByteBy time.Time
	deadline    time.Time
	// inputs are the handles of the results that the request needs; held are the results of its stages that have not
	// been freed yet.
	inputs []string
	held   []heldResults
	// inputsFreed is set once the inputs have been freed, so that no further target can read them.
	inputsFreed bool
	// inputsExpireAt is when the first of the inputs expires, zero if none does.
	inputsExpireAt time.Time
	sends          int
	// sentTo are the addresses of the targets that the request was sent to; another response from there has the same ID.
	sentTo map[string]bool
	// mayHaveRun is set if a target may have run the request.
	mayHaveRun bool
	// retryTakenAt is when it was granted a retry that it has not made yet, zero if it was not.
	retryTakenAt time.Time
	// claimID identifies the request at keepers of limits, announced is the pool in which it has been announced, keeper the node
	// that last decided on a claim of it.
	claimID   string
	announced ratelimit.Pool
	keeper    string
	worth     float64
	// run is what a planned stop needs to know of the request; isBounded is set if the stop bounds its deadline.
	run       *runningRequest
	isBounded bool
	log       logrus.Fields
}

// heldResults are results that one node's dispatcher tracks.
type heldResults struct {
	node    string
	handles []string
}

// priority returns the request's priority; 0 is the most urgent.
func (rs *requestState) priority() int {
	if rs.team.HasPriority {
		return rs.team.Priority
	}
	return rs.route.Priority
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	rs := &requestState{Call: g.cfg.Headers.ParseRequest(now, r), conn: intake.FromContext(r.Context()), table: g.cfg.Table(), sentTo: map[string]bool{}, log: logrus.Fields{}}
	rs.claimID = g.newClaimID()
	g.begin(r, rs)
	rw := newResponseWriter(w, rs.conn)
	out := g.admit(w, r, rs)
	if out == nil {
		out = g.serve(r, rs, rw)
	}
	out.write(w)
	g.end(rs, out)
	g.recordOutcome(rs, out)
	if out.abort {
		abort(r)
	}
}

// newClaimID returns an ID that no other request of the fleet has.
func (g *Gateway) newClaimID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastClaim++
	return g.cfg.Self + "/" + strconv.FormatUint(g.lastClaim, 36)
}

// recordReservation records a decision on a claim of the request.
func (rs *requestState) recordReservation(r permit.Reservation) {
	if r.Keeper != "" {
		rs.keeper = r.Keeper
	}
}

// admit checks a request against the current configuration and reads its body. It returns nil to admit the request.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, rs *requestState) *outcome {
	if rs.table == nil {
		return refusal(causeUnready, "no configuration yet", shortRetry)
	}
	var ok bool
	if rs.route, ok = rs.table.Match(rs.Host, rs.Path); !ok {
		return denial(http.StatusNotFound, causeRoute, "no route")
	}
	if rs.team, ok = rs.table.Caller(rs.route, rs.APIKey); !ok {
		return denial(http.StatusUnauthorized, causeKey, "key is not known")
	}
	if rs.Invalid != nil {
		return denial(http.StatusBadRequest, causeHeader, rs.Invalid.Error())
	}
	g.setDeadlines(rs)
	if out := g.readBody(w, r, rs); out != nil {
		return out
	}
	name := rs.route.PickService(rand.Float64())
	if rs.service, ok = rs.table.Service(name); !ok {
		return refusal(causeUnready, "service is not configured", shortRetry)
	}
	rs.suspect = rs.suspectOf()
	if len(rs.route.Stages) > 0 {
		rs.identity = rs.suspect.Identity()
	}
	if out := g.checkQuarantine(rs.Received, rs); out != nil {
		return out
	}
	return g.admitDuringStop(g.cfg.Now(), rs)
}

// readBody reads the body of a request until its deadline; it returns nil if the body is complete.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, rs *requestState) *outcome {
	limit := rs.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	ctx, cancel := context.WithDeadline(r.Context(), rs.deadline)
	defer cancel()
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(rs.deadline); err != nil {
		g.cfg.Log.WithError(err).WithField("request", rs.ID).Warn("gateway: the time to read a body cannot be bounded")
	}
	g.setEnd(rs, func(error) {
		cancel()
		// An error means that the connection is closed already.
		_ = control.SetReadDeadline(g.cfg.Now())
	})
	body, err := rs.conn.ReadBody(ctx, http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength, int64(limit))
	isEnded := g.setEnd(rs, nil)
	var tooLarge *http.MaxBytesError
	switch {
	case isEnded:
		return refusal(causeStopping, "node is stopping", 0)
	case errors.Is(err, intake.ErrRejected), errors.Is(err, context.DeadlineExceeded):
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		return refusal(causeMemory, "node has no room for the request", memoryRetry)
	case errors.As(err, &tooLarge), errors.Is(err, intake.ErrTooLarge):
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		return denial(http.StatusRequestEntityTooLarge, causeSize, "body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &outcome{kind: refused, status: http.StatusRequestTimeout, cause: causeBody, reason: "body was not received in time", retryAfter: shortRetry}
	case err != nil:
		return cancellation()
	}
	// The deadline would end the connection, and with it the request, while a target works on it.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return cancellation()
	}
	rs.Body = body
	return nil
}

// setDeadlines sets when a response is wanted and when it must be complete. A caller that has already waited sends a
// shorter timeout, so the difference to the longest one counts as time waited.
func (g *Gateway) setDeadlines(rs *requestState) {
	timeout := rs.route.Timeout
	waited := time.Duration(0)
	if rs.CallerTimeout > 0 {
		timeout = min(timeout, rs.CallerTimeout)
		g.mu.Lock()
		longest := max(g.longestTimeouts[rs.route.Name], rs.CallerTimeout)
		g.longestTimeouts[rs.route.Name] = longest
		g.mu.Unlock()
		waited = longest - rs.CallerTimeout
	}
	rs.deadline = rs.Received.Add(timeout - responseMargin)
	rs.objective = rs.Received.Add(rs.route.LatencyObjective - waited)
	rs.firstByteBy = rs.deadline
	if rs.route.RetryPolicy == route.Streaming {
		streamWait := max(minStreamWait, streamWaitObjectives*rs.route.LatencyObjective, streamWaitGaps*rs.route.MaxEventGap)
		if firstByteBy := rs.Received.Add(streamWait - responseMargin); firstByteBy.Before(rs.deadline) {
			rs.firstByteBy = firstByteBy
		}
	}
}

// Callers abandon a stream that has brought no event after the longest of minStreamWait, streamWaitObjectives times the
// latency objective and streamWaitGaps times the maximum event gap.
const (
	minStreamWait        = 2 * time.Second
	streamWaitObjectives = 4
	streamWaitGaps       = 8
)

// serve runs the stages of a request and sends it to a target.
func (g *Gateway) serve(r *http.Request, rs *requestState, rw *responseWriter) *outcome {
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	g.setEnd(rs, end)
	defer g.setEnd(rs, nil)
	ctx, cancel := context.WithDeadline(ctx, rs.deadline)
	defer cancel()
	defer g.releaseResults(rs)
	g.RecordFirstSend(rs.Received, rs.service.Name)
	rw.setPlace(rs)
	var out *outcome
	for range maxStageRuns {
		if out = g.runStages(ctx, r, rs); out == nil {
			out = g.forward(ctx, r, rs, rw)
		}
		out = rw.finalOutcome(out)
		if isEndedByStop(ctx, rs) {
			out = out.withStop()
		}
		if rs.mayHaveRun && out.kind == refused {
			// A refusal states that the request has not run.
			out.kind, out.status = failed, http.StatusBadGateway
		}
		if !out.inputLost || ctx.Err() != nil {
			return out
		}
		g.releaseResults(rs)
	}
	return out
}

// maxStageRuns bounds how often the stages of one request are run if results are lost before its target reads them.
const maxStageRuns = 2
