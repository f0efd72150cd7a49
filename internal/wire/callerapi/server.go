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

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/node"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

// The headers of the callers' interface.
const (
	HeaderOutcome        = "Outcome"
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetry          = "Retry-After"
	headerLastEvent      = "Last-Event-Id"
)

const (
	maxWait    = 30 * time.Second
	aliveEvery = 5 * time.Second
)

// Server answers callers of one node.
type Server struct {
	node *node.Node
	body int64
	now  func() time.Time
}

// NewHandler gives the callers' interface; body bounds a request's body in bytes.
func NewHandler(n *node.Node, body int64, now func() time.Time) (http.Handler, error) {
	s := &Server{node: n, body: body, now: now}
	metrics := n.Meter().Handler()
	return transport.NewHandler("caller", []rest.Route{
		{Method: http.MethodPost, Path: "/v1/pipelines/:name", Handler: s.run},
		{Method: http.MethodGet, Path: "/v1/requests/:id", Handler: s.lookup},
		{Method: http.MethodGet, Path: "/v1/requests/:id/events", Handler: s.resume},
		{Method: http.MethodGet, Path: "/v1/teams/:team/keys/:key", Handler: s.find},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthy},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
}

// Response is the body of an answer.
type Response struct {
	ID string `json:"id,omitempty"`
	outcome.Record
	Faults validation.Violations `json:"faults,omitempty"`
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	call, faults, code := s.read(w, r)
	if len(faults) > 0 {
		writeInvalid(w, code, faults)
		return
	}
	id, log := s.node.Entry().Start(call.request(s.now(), pathvar.Vars(r)["name"]))
	if call.Stream {
		s.stream(w, r, id, 0)
		return
	}
	record, err := log.Follow(r.Context(), 0, func(request.Event) error { return nil })
	if err != nil {
		return
	}
	write(w, id, record)
}

// read gives the call in a request's body, or its faults with the status that fits them.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (RunRequest, validation.Violations, int) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		text := fmt.Sprintf("is over the bound of %d bytes", s.body)
		return RunRequest{}, validation.Violations{{Kind: "request", Field: "body", Text: text}}, http.StatusRequestEntityTooLarge
	}
	if err != nil {
		return RunRequest{}, validation.Violations{{Kind: "request", Field: "body", Text: err.Error()}}, http.StatusBadRequest
	}
	call, faults := ParseRunRequest(data)
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" && len(faults) == 0 {
		call.IdempotencyKey = key
		faults = call.validate()
	}
	return call, faults, http.StatusBadRequest
}

func writeInvalid(w http.ResponseWriter, code int, faults validation.Violations) {
	record := outcome.ToRecord(outcome.NotRun{Reason: outcome.Invalid, Text: faults.Error()})
	writeJSON(w, code, Response{Record: record, Faults: faults})
}

func write(w http.ResponseWriter, id string, r outcome.Record) {
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	writeJSON(w, status(r), Response{ID: id, Record: r})
}

func writeJSON(w http.ResponseWriter, code int, reply Response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(reply.Outcome))
	if reply.RetryMs > 0 {
		seconds := int64(math.Ceil(float64(reply.RetryMs) / 1000))
		h.Set(headerRetry, strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(reply)
}

// status is the HTTP status that fits an outcome.
func status(r outcome.Record) int {
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

// stream sends the events of a request after number after, then its outcome.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, after uint64) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, id)
	out := newEvents(w)
	defer out.close()
	out.send("accepted", "", Response{ID: id})
	record, err := s.node.FollowRequest(r.Context(), id, after, func(e request.Event) error {
		return out.part(e)
	})
	if errors.Is(err, node.ErrUnknownRequest) {
		record, err = unknownRequest(), nil
	}
	if err != nil {
		// The stream ends without an outcome, so that the caller knows to resume.
		return
	}
	out.send("outcome", "", Response{ID: id, Record: record})
}

func unknownRequest() outcome.Record {
	return outcome.ToRecord(outcome.Unknown{Reason: outcome.Lost, Text: "the request is not known, or its node is gone"})
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("after")
	if text == "" {
		text = r.Header.Get(headerLastEvent)
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if text != "" && err != nil {
		writeInvalid(w, http.StatusBadRequest, validation.Violations{{Kind: "request", Field: "after", Text: "must be an event number"}})
		return
	}
	s.stream(w, r, pathvar.Vars(r)["id"], after)
}

// wait reads how long a look-up may wait for the outcome.
func wait(r *http.Request) (time.Duration, validation.Violations) {
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

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	d, faults := wait(r)
	if len(faults) > 0 {
		writeInvalid(w, http.StatusBadRequest, faults)
		return
	}
	// A request that has ended is read at once; only one that runs uses the time up.
	ctx, cancel := context.WithTimeout(r.Context(), d+lookupTimeout)
	defer cancel()
	record, err := s.node.FollowRequest(ctx, id, math.MaxUint64, func(request.Event) error { return nil })
	switch {
	case errors.Is(err, node.ErrUnknownRequest):
		writeJSON(w, http.StatusNotFound, Response{ID: id, Record: unknownRequest()})
	case ctx.Err() != nil:
		writeJSON(w, http.StatusAccepted, Response{ID: id, Record: outcome.Record{Text: "the request still runs"}})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, Response{ID: id, Record: outcome.Record{Text: "the request's node cannot be reached", RetryMs: lookupTimeout.Milliseconds()}})
	default:
		write(w, id, record)
	}
}

const lookupTimeout = 100 * time.Millisecond

func (s *Server) find(w http.ResponseWriter, r *http.Request) {
	d, faults := wait(r)
	if len(faults) > 0 {
		writeInvalid(w, http.StatusBadRequest, faults)
		return
	}
	vars := pathvar.Vars(r)
	write(w, "", outcome.ToRecord(s.node.Entry().Find(r.Context(), vars["team"], vars["key"], d)))
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
