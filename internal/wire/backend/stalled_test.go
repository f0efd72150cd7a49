package backend

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/faultproxy"
)

// TestStalledConnectionsFailOneAttempt stalls all open connections to a target while new ones work. Only the first
// attempt may be lost: the client must then discard the idle connections, which are stalled too.
func TestStalledConnectionsFailOneAttempt(t *testing.T) {
	const conns = 8
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		fmt.Fprintf(w, `{"attempt":%q,"end":true,"output":1}`, r.Header.Get(HeaderAttempt))
	}))
	defer s.Close()
	proxy, err := faultproxy.New(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	c := NewClient()
	run := func(i int) bool {
		_, complete := c.Run(t.Context(), proxy.Address(), Attempt{ID: fmt.Sprint(i), IdleTimeout: 200 * time.Millisecond}, nil).(Complete)
		return complete
	}
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() { run(i) })
	}
	wg.Wait()
	proxy.StallOpen()
	lost := 0
	for i := range conns {
		if !run(100 + i) {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("got %d of %d attempts lost, want 1", lost, conns)
	}
}

// TestStreamWithoutProgressIsStalled covers a target that sends the same event now and then: what brings nothing new does not
// keep a stream alive, and a slow stream is not cut.
func TestStreamWithoutProgressIsStalled(t *testing.T) {
	const idle = 300 * time.Millisecond
	tests := []struct {
		name string
		// next returns the number of the event after i others.
		next     func(i int) int
		complete bool
	}{
		{name: "slow", next: func(i int) int { return i + 1 }, complete: true},
		{name: "repeats an event", next: func(int) int { return 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const events = 8
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(HeaderAttempt)
				w.Header().Set(HeaderAttempt, id)
				for i := range events {
					fmt.Fprintf(w, "{\"attempt\":%q,\"n\":%d,\"data\":1}\n", id, tt.next(i))
					if http.NewResponseController(w).Flush() != nil {
						return
					}
					time.Sleep(idle / 2)
				}
				fmt.Fprintf(w, "{\"attempt\":%q,\"n\":%d,\"end\":true}\n", id, tt.next(events-1))
			}))
			defer s.Close()
			started := time.Now()
			a := Attempt{ID: "a", Stream: true, IdleTimeout: idle}
			got := NewClient().Run(t.Context(), strings.TrimPrefix(s.URL, "http://"), a, func(uint64, []byte) error { return nil })
			if _, complete := got.(Complete); complete != tt.complete {
				t.Errorf("got %T, want complete %t", got, tt.complete)
			}
			if took := time.Since(started); !tt.complete && took > 3*idle {
				t.Errorf("got the end after %s, want it soon after %s without a new event", took, idle)
			}
		})
	}
}
