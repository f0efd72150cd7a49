package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

const maxLine = 1 << 20

// HTTPCaller calls the product as its callers do, round robin over the nodes that a load balancer would use.
type HTTPCaller struct {
	// NodeAddresses returns the caller addresses of the ready nodes.
	NodeAddresses func() []string
	// StreamEvents holds the number of events of each pipeline with streamed responses.
	StreamEvents map[string]int
	Client       *http.Client
	roundRobin   atomic.Uint64
}

// NewClient returns an HTTP client for many concurrent calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096, IdleConnTimeout: time.Minute}}
}

// Call makes one call.
func (h *HTTPCaller) Call(ctx context.Context, c Call) Answer {
	body, err := json.Marshal(callerapi.RunRequest{
		Team:           c.Team,
		IdempotencyKey: c.Key,
		Deadline:       duration.Duration(c.Deadline),
		Stream:         h.StreamEvents[c.Pipeline] > 0,
		Input:          json.RawMessage(`{"order":"` + c.Order + `"}`),
	})
	if err != nil {
		return Answer{Outcome: outcome.KindUnknown}
	}
	nodes := h.NodeAddresses()
	if len(nodes) == 0 {
		return Answer{Outcome: outcome.KindNotRun, Reason: "nonode"}
	}
	address := nodes[h.roundRobin.Add(1)%uint64(len(nodes))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/pipelines/"+c.Pipeline, bytes.NewReader(body))
	if err != nil {
		return Answer{Outcome: outcome.KindUnknown}
	}
	began := time.Now()
	resp, err := h.Client.Do(req)
	if err != nil {
		return Answer{Outcome: outcome.KindUnknown, Reason: "noanswer"}
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return h.readStream(resp.Body, c, began)
	}
	var r callerapi.Response
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return Answer{Outcome: outcome.KindUnknown, Reason: "noanswer"}
	}
	return Answer{Outcome: r.Outcome, Reason: r.Reason, Order: orderOf(r.Body), Complete: true}
}

// readStream reads a streamed response and checks that each event arrives once, in order, and belongs to this request.
func (h *HTTPCaller) readStream(body io.Reader, c Call, began time.Time) Answer {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	a := Answer{Outcome: outcome.KindUnknown, Reason: "cut"}
	event, events, mismatched := "", 0, false
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "part":
			events++
			if events == 1 {
				a.TimeToFirstEvent = time.Since(began)
			}
			mismatched = mismatched || !isExpectedEvent(data, c.Order, events)
		case "outcome":
			var r callerapi.Response
			if json.Unmarshal([]byte(data), &r) != nil {
				return a
			}
			a.Outcome, a.Reason, a.Order = r.Outcome, r.Reason, orderOf(r.Body)
			a.Complete = events == h.StreamEvents[c.Pipeline] && !mismatched
			return a
		}
	}
	return a
}

func isExpectedEvent(data, order string, n int) bool {
	var p struct {
		Order string `json:"order"`
		Token int    `json:"token"`
	}
	return json.Unmarshal([]byte(data), &p) == nil && p.Order == order && p.Token == n
}
