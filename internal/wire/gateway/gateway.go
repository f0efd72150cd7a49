package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/budget"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/call"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch"
)

const (
	// defaultBody bounds a body while the configuration names no limit, in bytes.
	defaultBody = 4 << 20
	// retrySoon is when to come back where a cause usually passes quickly, such as a node without configuration.
	retrySoon = 300 * time.Millisecond
	// answerMargin is kept from the time-out of a route for the answer's way.
	answerMargin = 20 * time.Millisecond
)

// HeaderCodec reads and writes the headers of the callers' and targets' protocol.
type HeaderCodec interface {
	// ParseRequest reads a request but its body.
	ParseRequest(now time.Time, r *http.Request) call.Call
	// ForwardHeader gives the header for a target.
	ForwardHeader(c call.Call, s call.ForwardOptions) http.Header
	// ParseResponseFlags reads what an answer's header says about the call with an id.
	ParseResponseFlags(id string, status int, h http.Header) call.ResponseFlags
}

// Meter counts what a gateway does.
type Meter interface {
	// RecordRequest counts a finished request by its route and outcome.
	RecordRequest(pipeline, outcome, reason string, took time.Duration)
	// RecordSend counts an attempt at a target of a service by what came of it.
	RecordSend(service, result string, took time.Duration)
}

// Config is what a gateway is made of.
type Config struct {
	Self        string
	Datacentre  string
	Headers     HeaderCodec
	Connections *connection.Pool
	Dispatch    *dispatch.Client
	Table       func() *route.Table
	Roster      func() *registry.Registry
	RetryBudget settings.RetryBudget
	ColdLimit   settings.ColdLimit
	Log         logrus.FieldLogger
	Meter       Meter
	Now         func() time.Time
}

// Gateway serves callers.
type Gateway struct {
	cfg   Config
	loads loads

	mu      sync.Mutex
	windows map[string]*budget.RetryWindow
	// waits is the longest wait that callers named, by route; firsts the usual time to a first byte, by service.
	waits    map[string]time.Duration
	firsts   map[string]time.Duration
	closing  bool
	deadline time.Time
}

// New makes a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, loads: newLoads(), windows: map[string]*budget.RetryWindow{}, waits: map[string]time.Duration{}, firsts: map[string]time.Duration{}}
}

// Drain makes the gateway refuse the streams that could not end before a planned stop does.
func (g *Gateway) Drain(now time.Time, grace time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	g.deadline = now.Add(grace)
}

func (g *Gateway) terms() budget.RetryLimits {
	r := g.cfg.RetryBudget
	return budget.RetryLimits{Ratio: r.Ratio, Extra: r.Extra, Window: r.Window}
}

func (g *Gateway) window(service string) *budget.RetryWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.windows[service]
	if !ok {
		w = &budget.RetryWindow{}
		g.windows[service] = w
	}
	return w
}

// RecordFirstSend counts the first send of a request or piece to a service.
func (g *Gateway) RecordFirstSend(now time.Time, service string) {
	g.window(service).CountRequest(now, g.terms())
}

// AllowRetry asks the budget of a service for one more send.
func (g *Gateway) AllowRetry(now time.Time, service string) bool {
	return g.window(service).Take(now, g.terms(), len(g.cfg.Roster().NodeNames()))
}

// job is one request on its way.
type job struct {
	call.Call
	table   *route.Table
	route   route.Route
	service route.Service
	team    route.Team
	// aim, first and end are when an answer is wanted, when it must have begun, and when it must be final.
	aim   time.Time
	first time.Time
	end   time.Time
	// inputs are the results that the request needs, held those that are to be freed with it.
	inputs []string
	held   []held
	sends  int
	// ran says that a target may have run the request.
	ran bool
	log logrus.Fields
}

// held is results that one node's desk keeps.
type held struct {
	node    string
	handles []string
}

// priority is 0 for the most urgent.
func (j *job) priority() int {
	if j.team.HasPriority {
		return j.team.Priority
	}
	return j.route.Priority
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	j := &job{Call: g.cfg.Headers.ParseRequest(now, r), table: g.cfg.Table(), log: logrus.Fields{}}
	out := g.admit(w, r, j)
	if out == nil {
		out = g.serve(w, r, j)
	}
	out.write(w)
	g.report(j, out)
	if out.abort {
		panic(http.ErrAbortHandler)
	}
}

// admit checks a request against the configuration in force and reads its body; nil lets it in.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, j *job) *outcome {
	if j.table == nil {
		return refusal(causeUnready, "no configuration yet", retrySoon)
	}
	var ok bool
	if j.route, ok = j.table.Match(j.Host, j.Path); !ok {
		return denial(http.StatusNotFound, causeRoute, "no route")
	}
	if j.table.RequiresKey() && !j.route.Public {
		if j.team, ok = j.table.TeamByKey(j.APIKey); !ok {
			return denial(http.StatusUnauthorized, causeKey, "key is not known")
		}
	}
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return denial(http.StatusRequestEntityTooLarge, causeSize, "body is too large")
	}
	if err != nil {
		return callerLeft()
	}
	j.Body = body
	g.times(j)
	name := j.route.PickService(rand.Float64())
	if j.service, ok = j.table.Service(name); !ok {
		return refusal(causeUnready, "service is not configured", retrySoon)
	}
	if g.late(j) {
		return refusal(causeStopping, "node is stopping", 0)
	}
	return nil
}

// times sets when an answer is wanted and when it must be final. A caller that has waited before says so by the
// shorter time that it still waits.
func (g *Gateway) times(j *job) {
	wait := j.route.Timeout
	before := time.Duration(0)
	if j.CallerTimeout > 0 {
		wait = min(wait, j.CallerTimeout)
		g.mu.Lock()
		longest := max(g.waits[j.route.Name], j.CallerTimeout)
		g.waits[j.route.Name] = longest
		g.mu.Unlock()
		before = longest - j.CallerTimeout
	}
	j.end = j.Received.Add(wait - answerMargin)
	j.aim = j.Received.Add(j.route.LatencyObjective - before)
	j.first = j.end
	if j.route.RetryPolicy == route.Streaming {
		patience := max(minPatience, patienceAims*j.route.LatencyObjective, patiencePauses*j.route.MaxEventGap)
		if first := j.Received.Add(patience - answerMargin); first.Before(j.end) {
			j.first = first
		}
	}
}

// Callers leave a stream that brings nothing for the longest of minPatience, patienceAims times the aim and
// patiencePauses times the longest pause.
const (
	minPatience    = 2 * time.Second
	patienceAims   = 4
	patiencePauses = 8
)

// late tells whether a request would still run when a planned stop ends.
func (g *Gateway) late(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closing && j.route.RetryPolicy == route.Streaming && j.Received.Add(j.route.Timeout).After(g.deadline) &&
		g.deadline.Sub(j.Received) < lastStream
}

// lastStream is how long before the end of a planned stop no more streams are begun.
const lastStream = 4 * time.Second

// serve runs the stages of a request and sends it to a target.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) *outcome {
	ctx, cancel := context.WithDeadline(r.Context(), j.end)
	defer cancel()
	defer g.release(j)
	g.RecordFirstSend(j.Received, j.service.Name)
	s := &answer{w: w}
	var out *outcome
	for range maxChains {
		if out = g.prepare(ctx, r, j); out == nil {
			out = g.forward(ctx, r, j, s)
		}
		out = s.ended(out)
		if j.ran && out.kind == refused {
			// A refusal says that the request has not run.
			out.kind, out.status = failed, http.StatusBadGateway
		}
		if !out.inputGone {
			return out
		}
		g.release(j)
	}
	return out
}

// maxChains is how often the stages of one request are run, if results are lost before the request has read them.
const maxChains = 2
