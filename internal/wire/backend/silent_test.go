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

// TestSilentConnectionsCostOneAttempt opens many connections, lets all of them go silent while new ones work,
// and counts the attempts that are lost before the rest get through.
func TestSilentConnectionsCostOneAttempt(t *testing.T) {
	const conns = 8
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		fmt.Fprintf(w, `{"attempt":%q,"end":true,"output":1}`, r.Header.Get(HeaderAttempt))
	}))
	defer s.Close()
	g, err := faultproxy.New(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	c := NewClient()
	run := func(i int) bool {
		_, whole := c.Run(t.Context(), g.Address(), Attempt{ID: fmt.Sprint(i), IdleTimeout: 200 * time.Millisecond}, nil).(Complete)
		return whole
	}
	var calls sync.WaitGroup
	for i := range conns {
		calls.Go(func() { run(i) })
	}
	calls.Wait()
	g.StallOpen()
	lost := 0
	for i := range conns {
		if !run(100 + i) {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("got %d attempts lost of %d, want 1", lost, conns)
	}
}
