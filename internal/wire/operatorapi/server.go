package operatorapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/node"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/auth"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

const maxBodyBytes = 1 << 20

// Config holds the dependencies of the operators' API.
type Config struct {
	Node          *node.Node
	Authenticator auth.Authenticator
	Editor        edit.Editor
	Publisher     publication.Publisher
}

type server struct{ cfg Config }

// NewHandler returns the handler of the operators' API.
func NewHandler(cfg Config) (http.Handler, error) {
	s := server{cfg}
	return transport.NewHandler("operator", []rest.Route{
		{Method: http.MethodGet, Path: "/v1/objects/:kind", Handler: s.requireRole(settings.View, s.list)},
		{Method: http.MethodGet, Path: "/v1/objects/:kind/:name", Handler: s.requireRole(settings.View, s.get)},
		{Method: http.MethodPut, Path: "/v1/objects/:kind/:name", Handler: s.requireRole(settings.Operate, s.put)},
		{Method: http.MethodDelete, Path: "/v1/objects/:kind/:name", Handler: s.requireRole(settings.Operate, s.remove)},
		{Method: http.MethodPost, Path: "/v1/publish", Handler: s.requireRole(settings.Operate, s.publish)},
		{Method: http.MethodPost, Path: "/v1/rollback", Handler: s.requireRole(settings.Operate, s.rollback)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: s.requireRole(settings.View, s.status)},
		{Method: http.MethodGet, Path: "/v1/audit", Handler: s.requireRole(settings.View, s.audit)},
	})
}

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error      string                `json:"error"`
	Violations validation.Violations `json:"faults,omitempty"`
	// Current is the object as stored, after a version conflict.
	Current *edit.Object `json:"current,omitempty"`
}

// PutRequest is the body of a request to edit an object.
type PutRequest struct {
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value"`
	Reason  string          `json:"reason,omitempty"`
}

// PublishRequest is the body of a request to publish or roll back.
type PublishRequest struct {
	Reason        string `json:"reason,omitempty"`
	Force         bool   `json:"force,omitempty"`
	DryRun        bool   `json:"plan,omitempty"`
	ReleaseNumber uint64 `json:"number,omitempty"`
}

// FleetStatus is the status of every node of the fleet.
type FleetStatus struct {
	Nodes []node.Status `json:"nodes"`
}

type handler func(w http.ResponseWriter, r *http.Request, p auth.Principal)

func (s server) requireRole(role settings.Role, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p, ok := s.cfg.Authenticator.Authenticate(r)
		if !ok {
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{Error: "a bearer token is needed"})
			return
		}
		if !p.HasRole(role) {
			writeJSON(w, http.StatusForbidden, ErrorResponse{Error: "the role " + string(role) + " is needed"})
			return
		}
		h(w, r, p)
	}
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// writeResult writes value, or err with the HTTP status for it.
func writeResult(w http.ResponseWriter, value any, err error) {
	var conflict *edit.ConflictError
	var headConflict *publication.ConflictError
	var invalid *edit.ValidationError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, ErrorResponse{Error: err.Error(), Current: &conflict.Current})
	case errors.As(err, &headConflict):
		writeJSON(w, http.StatusConflict, ErrorResponse{Error: err.Error()})
	case errors.As(err, &invalid):
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the objects have faults", Violations: invalid.Violations})
	case errors.Is(err, object.ErrNotFound):
		writeJSON(w, http.StatusNotFound, ErrorResponse{Error: err.Error()})
	default:
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()})
	}
}

// checkKind reports whether kind is known; if it is not, the error response has been written.
func checkKind(w http.ResponseWriter, kind string) bool {
	for _, k := range release.Kinds {
		if k == kind {
			return true
		}
	}
	writeJSON(w, http.StatusNotFound, ErrorResponse{Error: "kind " + kind + " is not known"})
	return false
}

func (s server) list(w http.ResponseWriter, r *http.Request, _ auth.Principal) {
	kind := pathvar.Vars(r)["kind"]
	if !checkKind(w, kind) {
		return
	}
	list, err := s.cfg.Editor.List(r.Context(), kind)
	writeResult(w, list, err)
}

func (s server) get(w http.ResponseWriter, r *http.Request, _ auth.Principal) {
	vars := pathvar.Vars(r)
	if !checkKind(w, vars["kind"]) {
		return
	}
	o, err := s.cfg.Editor.Get(r.Context(), vars["kind"], vars["name"])
	writeResult(w, o, err)
}

// decode reads the request body into v and reports whether it could; if not, the error response has been written.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "body: " + err.Error()})
		return false
	}
	return true
}

func (s server) put(w http.ResponseWriter, r *http.Request, p auth.Principal) {
	vars := pathvar.Vars(r)
	var body PutRequest
	if !checkKind(w, vars["kind"]) || !decode(w, r, &body) {
		return
	}
	o, err := s.cfg.Editor.Put(r.Context(), edit.Edit{
		Kind:     vars["kind"],
		Name:     vars["name"],
		Version:  body.Version,
		Value:    body.Value,
		Operator: p.Operator,
		Reason:   body.Reason,
	})
	writeResult(w, o, err)
}

func (s server) remove(w http.ResponseWriter, r *http.Request, p auth.Principal) {
	vars := pathvar.Vars(r)
	if !checkKind(w, vars["kind"]) {
		return
	}
	query := r.URL.Query()
	version, err := strconv.ParseUint(query.Get("version"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "version: must be the version that is to be removed"})
		return
	}
	err = s.cfg.Editor.Delete(r.Context(), edit.Edit{Kind: vars["kind"], Name: vars["name"], Version: object.Version(version), Operator: p.Operator, Reason: query.Get("reason")})
	writeResult(w, struct{}{}, err)
}

func (s server) publish(w http.ResponseWriter, r *http.Request, p auth.Principal) {
	var body PublishRequest
	if !decode(w, r, &body) {
		return
	}
	result, err := s.cfg.Publisher.Publish(r.Context(), publication.Options{Operator: p.Operator, Reason: body.Reason, Force: body.Force, DryRun: body.DryRun})
	s.writePublished(w, result, err)
}

func (s server) rollback(w http.ResponseWriter, r *http.Request, p auth.Principal) {
	var body PublishRequest
	if !decode(w, r, &body) {
		return
	}
	result, err := s.cfg.Publisher.Rollback(r.Context(), publication.Options{Operator: p.Operator, Reason: body.Reason}, body.ReleaseNumber)
	s.writePublished(w, result, err)
}

// writePublished writes the result of a publish or rollback. It first activates a new release on this node, so that the
// release spreads to the others even if the platform becomes unavailable.
func (s server) writePublished(w http.ResponseWriter, result publication.Result, err error) {
	if err == nil && result.Release != nil {
		s.cfg.Node.ActivateRelease(result.Release)
	}
	writeResult(w, result, err)
}

func (s server) status(w http.ResponseWriter, r *http.Request, _ auth.Principal) {
	writeJSON(w, http.StatusOK, FleetStatus{Nodes: s.cfg.Node.Statuses(r.Context())})
}

func (s server) audit(w http.ResponseWriter, r *http.Request, _ auth.Principal) {
	query := r.URL.Query()
	f := audit.Filter{Object: query.Get("object"), Operator: query.Get("who")}
	if text := query.Get("since"); text != "" {
		since, err := time.Parse(time.RFC3339, text)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "since: must be a time like 2026-01-02T15:04:05Z"})
			return
		}
		f.Since = since
	}
	list, err := s.cfg.Editor.Trail.List(r.Context(), f)
	writeResult(w, list, err)
}
