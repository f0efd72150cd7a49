package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func startTarget(t *testing.T, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestRunStreamCompleteness(t *testing.T) {
	const one, two = `{"attempt":"a","n":1,"data":1}` + "\n", `{"attempt":"a","n":2,"data":2}` + "\n"
	const three = `{"attempt":"a","n":3,"data":3}` + "\n"
	const end = `{"attempt":"a","end":true,"n":2,"output":"x"}` + "\n"
	tests := []struct {
		name     string
		body     string
		after    uint64
		want     string
		complete bool
	}{
		{"complete", one + two + end, 0, "12", true},
		{"duplicate events", one + one + two + two + end, 0, "12", true},
		{"mismatched event in between", one + `{"attempt":"b","n":2,"data":9}` + "\n" + two + end, 0, "12", true},
		{"resumed", two + end, 1, "2", true},
		{"started again", one + two + end, 1, "", false},
		{"started again behind the place", two + three + `{"attempt":"a","end":true,"n":3}` + "\n", 2, "", false},
		{"truncated", one + two, 0, "12", false},
		{"truncated within a line", one + `{"attempt":"a","n":2,`, 0, "1", false},
		{"gap", two + end, 0, "", false},
		{"end event before the last event", one + end, 0, "1", false},
		{"mismatched end event", one + two + `{"attempt":"b","end":true,"n":2}` + "\n", 0, "12", false},
		{"empty body", "", 0, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			r := NewClient().Run(t.Context(), startTarget(t, tt.body), Attempt{ID: "a", Stream: true, ResumeAfter: tt.after, IdleTimeout: time.Second}, func(_ uint64, data []byte) error {
				got += string(data)
				return nil
			})
			if _, complete := r.(Complete); complete != tt.complete || got != tt.want {
				t.Errorf("got events %q and %T %v, want %q and complete %t", got, r, r, tt.want, tt.complete)
			}
		})
	}
}

func FuzzStream(f *testing.F) {
	f.Add(`{"attempt":"a","n":1,"data":1}` + "\n" + `{"attempt":"a","end":true,"n":1}`)
	f.Add("{\n\n\x00")
	f.Fuzz(func(t *testing.T, body string) {
		next := uint64(1)
		r := reader{client: NewClient(), attempt: Attempt{ID: "a", Stream: true}, resetIdle: func() {}, onEvent: func(n uint64, _ []byte) error {
			if n != next {
				t.Errorf("got event %d, want %d", n, next)
			}
			next++
			return nil
		}}
		_, last, err := r.read(strings.NewReader(body))
		if err == nil && last != next-1 {
			t.Errorf("got end event number %d after %d events", last, next-1)
		}
	})
}

func TestRunWithoutListenerIsUnreachable(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	r := NewClient().Run(t.Context(), address, Attempt{ID: "a", IdleTimeout: time.Second}, nil)
	if _, ok := r.(Unreachable); !ok {
		t.Errorf("got %T, want Unreachable", r)
	}
}
