package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// streamEvents is the number of events of a stream, streamPause the time between two of them.
	streamEvents = 40
	streamPause  = 100 * time.Millisecond
)

// serveStreams is an engine as a process of its own: it answers each request with a stream of events that has no length and ends with its
// connection, until the process is killed.
func serveStreams(id, address string) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go streamTo(c, id)
	}
}

// streamTo answers the request on a connection.
func streamTo(c net.Conn, id string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt, id)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: event %d of %s by %s\n\n", n, n, attempt, id); err != nil {
			return
		}
		time.Sleep(streamPause)
	}
}

// countEvents returns the number of events of a stream and which engine made them.
func countEvents(body string) (events int, by string) {
	for _, e := range strings.Split(body, "\n\n") {
		text, ok := strings.CutPrefix(e, "id: ")
		if !ok {
			continue
		}
		number, _, _ := strings.Cut(text, "\n")
		if n, err := strconv.Atoi(number); err != nil || n != events+1 {
			return -1, by
		}
		events++
		if _, name, ok := strings.Cut(text, " by "); ok {
			by = name
		}
	}
	return events, by
}
