package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswerInPlaceOfStreamIsIncomplete covers targets that are asked to go on with a stream and answer with something else:
// nothing of it counts as an event or as the end of the stream, and nothing is sent elsewhere.
func TestAnswerInPlaceOfStreamIsIncomplete(t *testing.T) {
	var elsewhere atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		elsewhere.Add(1)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		_, _ = io.WriteString(w, event+end)
	}))
	defer other.Close()
	answers := map[string]string{
		"not HTTP":             "boom\r\n\r\n",
		"stream without head":  event + end,
		"encoded":              "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nboom",
		"text":                 "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nboom\n",
		"nothing":              "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 0\r\n\r\n",
		"error":                "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n" + `{"attempt":"a","error":"boom"}` + "\n",
		"event without data":   "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n" + `{"attempt":"a","n":3,"error":"boom"}` + "\n" + `{"attempt":"a","end":true,"n":3,"output":1}` + "\n",
		"end before its place": "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\n" + `{"attempt":"a","end":true,"n":1,"output":1}` + "\n",
	}
	frames := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event+end), event+end),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event+end), event+end),
		"close":  "\r\n" + event + end,
		"cut":    "Content-Length: 1000\r\n\r\n" + event + end,
	}
	for _, status := range []int{202, 204, 206, 302, 307, 308, 400, 409, 416, 421, 500, 503} {
		for name, body := range frames {
			answers[fmt.Sprint(status, " ", name)] = fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt: a\r\nLocation: %s\r\n%s", status, other.URL, body)
		}
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			address := startCuttingTarget(t, text, false)
			a := Attempt{ID: "a", Stream: true, ResumeAfter: 2, IdleTimeout: time.Second, Body: []byte("{}")}
			got := NewClient().Run(t.Context(), address, a, func(n uint64, data []byte) error {
				t.Errorf("got event %d with %q, want none", n, data)
				return nil
			})
			if _, ok := got.(Incomplete); !ok {
				t.Errorf("got %T %+v, want it incomplete", got, got)
			}
		})
	}
	if got := elsewhere.Load(); got != 0 {
		t.Errorf("got %d calls at the address of a redirect, want 0", got)
	}
}

const (
	event = `{"attempt":"a","n":3,"data":"boom"}` + "\n"
	end   = `{"attempt":"a","end":true,"n":3,"output":"boom"}` + "\n"
)
