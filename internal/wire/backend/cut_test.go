package backend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestCutResponseIsIncomplete ends a target's response after each of its bytes, with and without a reset, in every framing: an
// attempt is complete only with the whole response.
func TestCutResponseIsIncomplete(t *testing.T) {
	const single = `{"attempt":"a","output":"x"}`
	const stream = `{"attempt":"a","n":1,"data":1}` + "\n" + `{"attempt":"a","n":2,"data":2}` + "\n" + `{"attempt":"a","end":true,"n":2,"output":"x"}`
	frame := map[string]func(body string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"close": func(body string) string { return "Connection: close\r\n\r\n" + body },
	}
	for name, framed := range frame {
		for _, isStream := range []bool{false, true} {
			body := single
			if isStream {
				body = stream
			}
			response := "HTTP/1.1 200 OK\r\nAttempt: a\r\n" + framed(body)
			t.Run(fmt.Sprintf("%s, stream %t", name, isStream), func(t *testing.T) {
				t.Parallel()
				for length := range len(response) + 1 {
					for _, reset := range []bool{false, true} {
						address := startCuttingTarget(t, response[:length], reset)
						r := NewClient().Run(t.Context(), address, Attempt{ID: "a", Stream: isStream, IdleTimeout: 2 * time.Second}, func(uint64, []byte) error { return nil })
						c, complete := r.(Complete)
						if complete && (!strings.Contains(response[:length], body) || string(c.Output) != `"x"`) {
							t.Errorf("%d of %d bytes, reset %t: got %+v, want it incomplete", length, len(response), reset, c)
						}
						if length == len(response) && !reset && !complete {
							t.Errorf("got %+v for the whole response", r)
						}
					}
				}
			})
		}
	}
}

func startCuttingTarget(t *testing.T, response string, reset bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer ln.Close()
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 8<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return ln.Addr().String()
}
