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
	var rr RunRequest
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&rr); err != nil {
		return rr, validation.Violations{{Kind: "request", Field: "body", Text: err.Error()}}
	}
	if _, err := d.Token(); err != io.EOF {
		return rr, validation.Violations{{Kind: "request", Field: "body", Text: "more than one JSON value"}}
	}
	return rr, rr.validate()
}

func (rr RunRequest) validate() validation.Violations {
	c := &validation.Checker{Kind: "request"}
	c.Check(validation.ValidName(rr.Team), "team", "is missing or not a valid name: %q", truncate(rr.Team))
	c.Check(rr.IdempotencyKey == "" || keyPattern.MatchString(rr.IdempotencyKey), "key", "must be 1 to 128 letters, digits, dots, colons, tildes, dashes or underscores")
	c.Check(rr.Priority == "" || rr.Priority.Valid(), "priority", "must be high, normal or low, not %q", truncate(string(rr.Priority)))
	c.Check(rr.Deadline >= 0 && rr.Deadline.Duration() <= maxDeadline, "deadline", "must be above 0 and at most %s, not %s", maxDeadline, rr.Deadline)
	c.Check(len(rr.Input) > 0, "input", "is missing")
	return c.List()
}

const maxQuotedLength = 64

func truncate(s string) string { return s[:min(len(s), maxQuotedLength)] }

// request returns the request for the node to run.
func (rr RunRequest) request(now time.Time, pipeline string) request.Request {
	r := request.Request{Pipeline: pipeline, Team: rr.Team, Key: rr.IdempotencyKey, Priority: rr.Priority, Body: rr.Input}
	if rr.Deadline > 0 {
		r.Deadline = now.Add(rr.Deadline.Duration())
	}
	return r
}
