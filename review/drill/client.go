package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a client.
type request struct {
	method, host, path, id string
	body                   string
	header                 map[string]string
	// deadline is sent to the node, within is how long the client waits.
	deadline time.Duration
	within   time.Duration
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	// complete is set if the response ended as HTTP/1.1 says that it ends.
	complete bool
	err      error
}

func (r reply) String() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no response: %v", r.err)
	case !r.complete:
		return fmt.Sprintf("status %d, %d bytes, cut: %v", r.status, len(r.body), r.err)
	default:
		return fmt.Sprintf("status %d, %d bytes, complete", r.status, len(r.body))
	}
}

// connection is a client's connection to a node.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *connection) close() { _ = c.Conn.Close() }

var lastID atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1))) }

// exchange sends a request and reads its response.
func (c *connection) exchange(r request) reply {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, r.host)
	if r.id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\nAuthorization: Token %s\r\n", r.id, testKey)
	}
	if r.deadline > 0 {
		fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", r.deadline.Milliseconds())
	}
	for k, v := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	_ = c.SetDeadline(time.Now().Add(r.within))
	if _, err := c.Write([]byte(b.String())); err != nil {
		return reply{err: err}
	}
	return c.read(r.method)
}

func (c *connection) read(method string) reply {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	a.complete = err == nil
	return a
}

// errMissing is the error of a case whose calm requests fail.
var errMissing = errors.New("a calm request was not answered in full")
