package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/fault"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/span"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
)

const maxDeadline = 30 * time.Minute

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// Call is the body of a caller's request.
type Call struct {
	Team     string          `json:"team"`
	Key      string          `json:"key,omitempty"`
	Priority team.Priority   `json:"priority,omitempty"`
	Deadline span.Span       `json:"deadline,omitempty"`
	Stream   bool            `json:"stream,omitempty"`
	Input    json.RawMessage `json:"input"`
}

// ParseCall reads a body and lists every fault of it.
func ParseCall(data []byte) (Call, fault.List) {
	var c Call
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fault.List{{Kind: "request", Field: "body", Text: err.Error()}}
	}
	if _, err := d.Token(); err != io.EOF {
		return c, fault.List{{Kind: "request", Field: "body", Text: "more than one JSON value"}}
	}
	return c, c.validate()
}

func (c Call) validate() fault.List {
	k := &fault.Checker{Kind: "request"}
	k.Check(fault.ValidName(c.Team), "team", "is missing or not a valid name: %q", clip(c.Team))
	k.Check(c.Key == "" || keyPattern.MatchString(c.Key), "key", "must be 1 to 128 letters, digits, dots, colons, tildes, dashes or underscores")
	k.Check(c.Priority == "" || c.Priority.Valid(), "priority", "must be high, normal or low, not %q", clip(string(c.Priority)))
	k.Check(c.Deadline >= 0 && c.Deadline.Duration() <= maxDeadline, "deadline", "must be above 0 and at most %s, not %s", maxDeadline, c.Deadline)
	k.Check(len(c.Input) > 0, "input", "is missing")
	return k.List()
}

const clipLength = 64

func clip(s string) string { return s[:min(len(s), clipLength)] }

// request makes the request that the node runs.
func (c Call) request(now time.Time, pipeline string) request.Request {
	r := request.Request{Pipeline: pipeline, Team: c.Team, Key: c.Key, Priority: c.Priority, Body: c.Input}
	if c.Deadline > 0 {
		r.Deadline = now.Add(c.Deadline.Duration())
	}
	return r
}
