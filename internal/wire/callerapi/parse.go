package callerapi

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
)

const maxDeadline = 30 * time.Minute

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// RunRequest is the body of a request to run a pipeline.
type RunRequest struct {
	Team           string            `json:"team"`
	IdempotencyKey string            `json:"key,omitempty"`
	Priority       team.Priority     `json:"priority,omitempty"`
	Deadline       duration.Duration `json:"deadline,omitempty"`
	Stream         bool              `json:"stream,omitempty"`
	Input          json.RawMessage   `json:"input"`
}

// ParseRunRequest parses a request body and returns all its violations.
func ParseRunRequest(data []byte) (RunRequest, validation.Violations) {
	var c RunRequest
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, validation.Violations{{Kind: "request", Field: "body", Text: err.Error()}}
	}
	if _, err := d.Token(); err != io.EOF {
		return c, validation.Violations{{Kind: "request", Field: "body", Text: "more than one JSON value"}}
	}
	return c, c.validate()
}

func (c RunRequest) validate() validation.Violations {
	k := &validation.Checker{Kind: "request"}
	k.Check(validation.ValidName(c.Team), "team", "is missing or not a valid name: %q", truncate(c.Team))
	k.Check(c.IdempotencyKey == "" || keyPattern.MatchString(c.IdempotencyKey), "key", "must be 1 to 128 letters, digits, dots, colons, tildes, dashes or underscores")
	k.Check(c.Priority == "" || c.Priority.Valid(), "priority", "must be high, normal or low, not %q", truncate(string(c.Priority)))
	k.Check(c.Deadline >= 0 && c.Deadline.Duration() <= maxDeadline, "deadline", "must be above 0 and at most %s, not %s", maxDeadline, c.Deadline)
	k.Check(len(c.Input) > 0, "input", "is missing")
	return k.List()
}

const maxQuotedLength = 64

func truncate(s string) string { return s[:min(len(s), maxQuotedLength)] }

// request returns the request for the node to run.
func (c RunRequest) request(now time.Time, pipeline string) request.Request {
	r := request.Request{Pipeline: pipeline, Team: c.Team, Key: c.IdempotencyKey, Priority: c.Priority, Body: c.Input}
	if c.Deadline > 0 {
		r.Deadline = now.Add(c.Deadline.Duration())
	}
	return r
}
