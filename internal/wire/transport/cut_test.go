package transport

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestCutResponseDoesNotLookComplete(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a")
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
		if err := Cut(w, r); err != nil {
			t.Error(err)
		}
	})
	for _, version := range []string{"1.0", "1.1"} {
		for _, isSecure := range []bool{false, true} {
			t.Run(fmt.Sprintf("HTTP/%s, TLS %t", version, isSecure), func(t *testing.T) {
				s := httptest.NewUnstartedServer(handler)
				dial := func() (net.Conn, error) { return net.Dial("tcp", s.Listener.Addr().String()) }
				if isSecure {
					s.StartTLS()
					dial = func() (net.Conn, error) {
						return tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
					}
				} else {
					s.Start()
				}
				defer s.Close()
				c, err := dial()
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: x\r\n\r\n", version)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return
				}
				if got, err := io.ReadAll(resp.Body); err == nil {
					t.Errorf("got %q as complete, want a cut", got)
				}
			})
		}
	}
}
