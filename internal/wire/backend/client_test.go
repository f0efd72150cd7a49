package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func serve(t *testing.T, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestStreamIsWholeOrBroken(t *testing.T) {
	const one, two = `{"attempt":"a","n":1,"data":1}` + "\n", `{"attempt":"a","n":2,"data":2}` + "\n"
	const end = `{"attempt":"a","end":true,"n":2,"output":"x"}` + "\n"
	tests := []struct {
		name  string
		body  string
		after uint64
		want  string
		whole bool
	}{
		{"whole", one + two + end, 0, "12", true},
		{"doubled events", one + one + two + two + end, 0, "12", true},
		{"another's events between", one + `{"attempt":"b","n":2,"data":9}` + "\n" + two + end, 0, "12", true},
		{"resumed", two + end, 1, "2", true},
		{"resumed from the start", one + two + end, 1, "2", true},
		{"cut", one + two, 0, "12", false},
		{"cut in a line", one + `{"attempt":"a","n":2,`, 0, "1", false},
		{"gap", two + end, 0, "", false},
		{"end too early", one + end, 0, "1", false},
		{"another's end", one + two + `{"attempt":"b","end":true,"n":2}` + "\n", 0, "12", false},
		{"nothing", "", 0, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			r := NewClient().Run(t.Context(), serve(t, tt.body), Attempt{ID: "a", Stream: true, ResumeAfter: tt.after, IdleTimeout: time.Second}, func(_ uint64, data []byte) error {
				got += string(data)
				return nil
			})
			if _, whole := r.(Complete); whole != tt.whole || got != tt.want {
				t.Errorf("got events %q and %T %v, want %q and whole %t", got, r, r, tt.want, tt.whole)
			}
		})
	}
}

func FuzzStream(f *testing.F) {
	f.Add(`{"attempt":"a","n":1,"data":1}` + "\n" + `{"attempt":"a","end":true,"n":1}`)
	f.Add("{\n\n\x00")
	f.Fuzz(func(t *testing.T, body string) {
		next := uint64(1)
		r := reader{client: NewClient(), attempt: Attempt{ID: "a", Stream: true}, alive: func() {}, part: func(n uint64, _ []byte) error {
			if n != next {
				t.Errorf("got event %d, want %d", n, next)
			}
			next++
			return nil
		}}
		_, last, err := r.read(strings.NewReader(body))
		if err == nil && last != next-1 {
			t.Errorf("got an end at %d after %d events", last, next-1)
		}
	})
}

func TestNothingWasSentWhereNobodyListens(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	r := NewClient().Run(t.Context(), address, Attempt{ID: "a", IdleTimeout: time.Second}, nil)
	if _, ok := r.(Unreachable); !ok {
		t.Errorf("got %T, want Unreached", r)
	}
}
