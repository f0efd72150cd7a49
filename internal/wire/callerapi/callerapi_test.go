package callerapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

func TestParseRunRequest(t *testing.T) {
	tests := []struct{ name, body, field string }{
		{"valid", `{"team":"a","input":{}}`, ""},
		{"no JSON", `{"team"`, "body"},
		{"two JSON values", `{"team":"a","input":{}} {}`, "body"},
		{"unknown field", `{"team":"a","input":{},"tame":"b"}`, "body"},
		{"no team", `{"input":{}}`, "team"},
		{"no input", `{"team":"a"}`, "input"},
		{"bad key", `{"team":"a","key":"a b","input":{}}`, "key"},
		{"bad priority", `{"team":"a","priority":"urgent","input":{}}`, "priority"},
		{"deadline too long", `{"team":"a","deadline":"9000h","input":{}}`, "deadline"},
		{"negative deadline", `{"team":"a","deadline":"-1s","input":{}}`, "deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, violations := ParseRunRequest([]byte(tt.body))
			got := ""
			if len(violations) > 0 {
				got = violations[0].Field
			}
			if got != tt.field {
				t.Errorf("got a violation in field %q, want %q", got, tt.field)
			}
		})
	}
}

func FuzzParseRunRequest(f *testing.F) {
	f.Add([]byte(`{"team":"a","key":"k","priority":"high","deadline":"1s","stream":true,"input":{"order":"x"}}`))
	f.Add([]byte(`{"team":"","input":null}`))
	f.Add([]byte(`[1,2]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, violations := ParseRunRequest(data)
		if len(violations) > 0 {
			return
		}
		if c.Team == "" || len(c.IdempotencyKey) > 128 || c.Deadline < 0 || !json.Valid(c.Input) {
			t.Errorf("got invalid request %+v accepted", c)
		}
	})
}

func TestOutcomeStatusAndRetryAfter(t *testing.T) {
	tests := []struct {
		outcome   outcome.Outcome
		wantCode  int
		wantRetry string
	}{
		{outcome.Answered{Body: json.RawMessage(`{}`)}, http.StatusOK, ""},
		{outcome.NotRun{Reason: outcome.Overload, RetryAfter: 1200 * time.Millisecond}, http.StatusServiceUnavailable, "2"},
		{outcome.NotRun{Reason: outcome.Rate, RetryAfter: time.Millisecond}, http.StatusTooManyRequests, "1"},
		{outcome.NotRun{Reason: outcome.Invalid}, http.StatusNotFound, ""},
		{outcome.NotRun{Reason: outcome.KeyReused}, http.StatusUnprocessableEntity, ""},
		{outcome.Failed{Reason: outcome.TargetError, Retryable: true, RetryAfter: time.Second}, http.StatusBadGateway, "1"},
		{outcome.Unknown{Reason: outcome.Lost}, http.StatusGatewayTimeout, ""},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		writeRecord(w, "id", outcome.ToRecord(tt.outcome))
		if w.Code != tt.wantCode {
			t.Errorf("%v: got status %d, want %d", tt.outcome, w.Code, tt.wantCode)
		}
		if got := w.Header().Get("Retry-After"); got != tt.wantRetry {
			t.Errorf("%v: got Retry-After %q, want %q", tt.outcome, got, tt.wantRetry)
		}
		if got := w.Header().Get(HeaderOutcome); got != string(tt.outcome.Kind()) {
			t.Errorf("got outcome %q, want %q", got, tt.outcome.Kind())
		}
	}
}

// TestRouterNeverAnswersForHandler sends many slow requests at once: go-zero's timeout, load shedder, breaker,
// connection limit and body limit would each answer some of them.
func TestRouterNeverAnswersForHandler(t *testing.T) {
	unblock := make(chan struct{})
	h, err := transport.NewHandler("test", []rest.Route{{Method: http.MethodPost, Path: "/slow", Handler: func(w http.ResponseWriter, _ *http.Request) {
		<-unblock
		w.WriteHeader(http.StatusBadGateway)
	}}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	defer s.Close()
	const requests = 300
	codes := make(chan int, requests)
	for range requests {
		go func() {
			resp, err := http.Post(s.URL+"/slow", "text/plain", nil)
			if err != nil {
				codes <- 0
				return
			}
			resp.Body.Close()
			codes <- resp.StatusCode
		}()
	}
	// go-zero's default timeout is three seconds.
	time.Sleep(3500 * time.Millisecond)
	close(unblock)
	for range requests {
		if got := <-codes; got != http.StatusBadGateway {
			t.Fatalf("got status %d, want the handler's own %d", got, http.StatusBadGateway)
		}
	}
}
