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
