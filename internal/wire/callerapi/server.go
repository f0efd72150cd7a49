package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/node"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

// Headers of the callers' API.
const (
	HeaderOutcome        = "Outcome"
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	headerLastEventID    = "Last-Event-Id"
)

const (
	maxWait           = 30 * time.Second
	keepaliveInterval = 5 * time.Second
)

// Config holds the dependencies of the callers' API and its bounds.
type Config struct {
	Node *node.Node
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Closing ends when callers that wait for other nodes have to be answered, at the end of a planned stop.
	Closing context.Context
	Now     func() time.Time
	Log     *logrus.Logger
}

// server serves the callers of one node.
type server struct {
	Config
	log logging.ComponentLogger
}

// NewHandler returns the handler of the callers' API.
func NewHandler(cfg Config) (http.Handler, error) {
	s := &server{Config: cfg, log: logging.NewComponentLogger(cfg.Log, "caller")}
	metrics := cfg.Node.Meter().Handler()
	return transport.NewHandler("caller", []rest.Route{
		{Method: http.MethodPost, Path: "/v1/pipelines/:name", Handler: s.run},
		{Method: http.MethodGet, Path: "/v1/requests/:id", Handler: s.lookup},
		{Method: http.MethodGet, Path: "/v1/requests/:id/events", Handler: s.resume},
		{Method: http.MethodGet, Path: "/v1/teams/:team/keys/:key", Handler: s.lookupKey},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.checkHealth},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.checkReady},
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
}

// Response is the JSON body of a response to a caller.
type Response struct {
	ID string `json:"id,omitempty"`
	outcome.Record
	Violations validation.Violations `json:"faults,omitempty"`
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	body, violations, code := s.readBody(w, r)
	if len(violations) > 0 {
		writeInvalid(w, code, violations)
		return
	}
	id, log := s.Node.Coordinator().Start(body.request(s.Now(), pathvar.Vars(r)["name"]))
	if body.Stream {
		s.stream(w, r, id, 0)
		return
	}
	record, err := log.Follow(r.Context(), 0, func(request.Event) error { return nil })
	if err != nil {
		return
	}
	writeRecord(w, id, record)
}

// readBody returns a request's parsed body, or its violations and the HTTP status to send with them.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) (RunRequest, validation.Violations, int) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		text := fmt.Sprintf("is over the bound of %d bytes", s.MaxBodyBytes)
		return RunRequest{}, validation.Violations{{Kind: "request", Field: "body", Text: text}}, http.StatusRequestEntityTooLarge
	}
	if err != nil {
		return RunRequest{}, validation.Violations{{Kind: "request", Field: "body", Text: err.Error()}}, http.StatusBadRequest
	}
	body, violations := ParseRunRequest(data)
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" && len(violations) == 0 {
		body.IdempotencyKey = key
		violations = body.validate()
	}
	return body, violations, http.StatusBadRequest
}

func writeInvalid(w http.ResponseWriter, code int, violations validation.Violations) {
	record := outcome.ToRecord(outcome.NotRun{Reason: outcome.Invalid, Text: violations.Error()})
	writeJSON(w, code, Response{Record: record, Violations: violations})
}

func writeRecord(w http.ResponseWriter, id string, r outcome.Record) {
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	writeJSON(w, statusCode(r), Response{ID: id, Record: r})
}

func writeJSON(w http.ResponseWriter, code int, resp Response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(resp.Outcome))
	if resp.RetryMs > 0 {
		seconds := int64(math.Ceil(float64(resp.RetryMs) / 1000))
		h.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(resp)
}

// statusCode returns the HTTP status code for an outcome.
func statusCode(r outcome.Record) int {
	switch r.Outcome {
	case outcome.KindAnswered:
		return http.StatusOK
	case outcome.KindFailed:
		return http.StatusBadGateway
	case outcome.KindUnknown:
		return http.StatusGatewayTimeout
	}
	switch r.Reason {
	case outcome.Invalid:
		return http.StatusNotFound
	case outcome.KeyReused:
		return http.StatusUnprocessableEntity
	case outcome.Rate:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// stream sends the events of a request that follow event number after, then the outcome.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, after uint64) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, id)
	events := newEventWriter(w)
	defer events.close()
	events.send("accepted", "", Response{ID: id})
	ctx, cancel := s.untilClosing(r.Context())
	defer cancel()
	record, err := s.Node.FollowRequest(ctx, id, after, func(e request.Event) error {
		return events.sendPart(e)
	})
	if errors.Is(err, node.ErrUnknownRequest) {
		record, err = unknownRequest(), nil
	}
	if err != nil {
		s.cut(r, id, events, err)
		return
	}
	events.send("outcome", "", Response{ID: id, Record: record})
}

// untilClosing returns a context that ends with ctx, and at the end of a planned stop.
func (s *server) untilClosing(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.Closing, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cut ends a stream without an outcome, which its caller may resume.
func (s *server) cut(r *http.Request, id string, events *eventWriter, cause error) {
	if r.Context().Err() != nil {
		return
	}
	log := s.log.With("request", id)
	log.Warn("stream was cut before its outcome", cause)
	if err := events.cut(r); err != nil {
		log.Warn("cutting a stream failed; it looks complete", err)
	}
}

func unknownRequest() outcome.Record {
	return outcome.ToRecord(outcome.Unknown{Reason: outcome.Lost, Text: "the request is not known, or its node is gone"})
}

func (s *server) resume(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("after")
	if text == "" {
		text = r.Header.Get(headerLastEventID)
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if text != "" && err != nil {
		writeInvalid(w, http.StatusBadRequest, validation.Violations{{Kind: "request", Field: "after", Text: "must be an event number"}})
		return
	}
	s.stream(w, r, pathvar.Vars(r)["id"], after)
}

// parseWait returns how long a look-up may wait for the outcome.
func parseWait(r *http.Request) (time.Duration, validation.Violations) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	var d duration.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil || d < 0 || d.Duration() > maxWait {
		return 0, validation.Violations{{Kind: "request", Field: "wait", Text: fmt.Sprintf("must be 0 to %s", maxWait)}}
	}
	return d.Duration(), nil
}

func (s *server) lookup(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	d, violations := parseWait(r)
	if len(violations) > 0 {
		writeInvalid(w, http.StatusBadRequest, violations)
		return
	}
	// Reading a finished request returns at once; only a running one takes up to the timeout.
	ctx, cancel := context.WithTimeout(r.Context(), d+lookupTimeout)
	defer cancel()
	ctx, end := s.untilClosing(ctx)
	defer end()
	record, err := s.Node.FollowRequest(ctx, id, math.MaxUint64, func(request.Event) error { return nil })
	switch {
	case errors.Is(err, node.ErrUnknownRequest):
		writeJSON(w, http.StatusNotFound, Response{ID: id, Record: unknownRequest()})
	case ctx.Err() != nil:
		writeJSON(w, http.StatusAccepted, Response{ID: id, Record: outcome.Record{Text: "the request still runs"}})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, Response{ID: id, Record: outcome.Record{Text: "the request's node cannot be reached", RetryMs: lookupTimeout.Milliseconds()}})
	default:
		writeRecord(w, id, record)
	}
}

const lookupTimeout = 100 * time.Millisecond

func (s *server) lookupKey(w http.ResponseWriter, r *http.Request) {
	d, violations := parseWait(r)
	if len(violations) > 0 {
		writeInvalid(w, http.StatusBadRequest, violations)
		return
	}
	ctx, cancel := s.untilClosing(r.Context())
	defer cancel()
	vars := pathvar.Vars(r)
	writeRecord(w, "", outcome.ToRecord(s.Node.Coordinator().Find(ctx, vars["team"], vars["key"], d)))
}

func (s *server) checkHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (s *server) checkReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
