package backend

import (
	"testing"
	"time"
)

// TestResponseWithoutStatusStatesNothing guards against a response of a target in trouble whose status is none, such as 000: it is no
// answer, and no refusal of a request that may have run.
func TestResponseWithoutStatusStatesNothing(t *testing.T) {
	const single = `{"attempt":"a","output":"x"}`
	frames := map[string]string{
		"length":  "Content-Length: 28\r\n\r\n" + single,
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n1c\r\n" + single + "\r\n0\r\n\r\n",
		"close":   "Connection: close\r\n\r\n" + single,
		"nothing": "Content-Length: 0\r\n\r\n",
	}
	for _, status := range []string{"000 ", "000", "001 x", "099 x"} {
		for name, frame := range frames {
			for _, refused := range []string{"", "Refused: full\r\n"} {
				t.Run(status+", "+name, func(t *testing.T) {
					t.Parallel()
					address := startCuttingTarget(t, "HTTP/1.1 "+status+"\r\nAttempt: a\r\n"+refused+frame, false)
					got := NewClient().Run(t.Context(), address, Attempt{ID: "a", IdleTimeout: 2 * time.Second, Body: []byte("{}")}, func(uint64, []byte) error { return nil })
					if _, ok := got.(Incomplete); !ok {
						t.Errorf("got %T %+v, want it incomplete", got, got)
					}
				})
			}
		}
	}
}
