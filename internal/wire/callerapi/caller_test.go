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

func TestParseCall(t *testing.T) {
	tests := []struct{ name, body, field string }{
		{"sound", `{"team":"a","input":{}}`, ""},
		{"no JSON", `{"team"`, "body"},
		{"two values", `{"team":"a","input":{}} {}`, "body"},
		{"unknown field", `{"team":"a","input":{},"tame":"b"}`, "body"},
		{"no team", `{"input":{}}`, "team"},
		{"no input", `{"team":"a"}`, "input"},
		{"bad key", `{"team":"a","key":"a b","input":{}}`, "key"},
		{"bad priority", `{"team":"a","priority":"urgent","input":{}}`, "priority"},
		{"absurd deadline", `{"team":"a","deadline":"9000h","input":{}}`, "deadline"},
		{"deadline passed", `{"team":"a","deadline":"-1s","input":{}}`, "deadline"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := ParseRunRequest([]byte(tt.body))
			got := ""
			if len(faults) > 0 {
				got = faults[0].Field
			}
			if got != tt.field {
				t.Errorf("got a fault in %q, want %q", got, tt.field)
			}
		})
	}
}

func FuzzParseCall(f *testing.F) {
	f.Add([]byte(`{"team":"a","key":"k","priority":"high","deadline":"1s","stream":true,"input":{"order":"x"}}`))
	f.Add([]byte(`{"team":"","input":null}`))
	f.Add([]byte(`[1,2]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, faults := ParseRunRequest(data)
		if len(faults) > 0 {
			return
		}
		if c.Team == "" || len(c.IdempotencyKey) > 128 || c.Deadline < 0 || !json.Valid(c.Input) {
			t.Errorf("got %+v accepted", c)
		}
	})
}

func TestEveryOutcomeHasAStatusAndATimeToComeBack(t *testing.T) {
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
		write(w, "id", outcome.ToRecord(tt.outcome))
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

// TestLibraryAnswersNobody sends many slow calls at once: go-zero's time-out, shedder, breaker, connection and
// body limits would each answer some of them.
func TestLibraryAnswersNobody(t *testing.T) {
	slow := make(chan struct{})
	h, err := transport.NewHandler("test", []rest.Route{{Method: http.MethodPost, Path: "/slow", Handler: func(w http.ResponseWriter, _ *http.Request) {
		<-slow
		w.WriteHeader(http.StatusBadGateway)
	}}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	defer s.Close()
	const calls = 300
	codes := make(chan int, calls)
	for range calls {
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
	// go-zero's default time-out is three seconds.
	time.Sleep(3500 * time.Millisecond)
	close(slow)
	for range calls {
		if got := <-codes; got != http.StatusBadGateway {
			t.Fatalf("got status %d, want the handler's own %d", got, http.StatusBadGateway)
		}
	}
}
