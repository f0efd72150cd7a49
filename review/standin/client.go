package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	apiKey = "9dnn2ctnfzs989anu6ws"
	host   = "pule25.example"
)

var lastAttempt atomic.Int64

// newAttemptID returns an ID that no other attempt has.
func newAttemptID() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// attempt is one request of a client.
type attempt struct {
	id, method, path string
	deadline         time.Duration
	// tokens is the value of X-Token-Usage, "" for a request without a prompt.
	tokens string
}

// answer is how an attempt ended.
type answer struct {
	status int
	body   string
	// err is set if the connection ended before the answer was complete.
	err error
	// isSent is set if the whole request was written.
	isSent bool
	took   time.Duration
}

// kept is a connection that a client keeps open for many requests.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
	// isClosing is set once an answer has said that the connection ends.
	isClosing bool
}

func dial(address string) (*kept, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{conn: c, reader: bufio.NewReader(c)}, nil
}

func (k *kept) close() { _ = k.conn.Close() }

// send sends an attempt on the connection and reads its answer to the end, or until the client's deadline.
func (k *kept) send(a attempt) answer {
	started := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", a.method, a.path, host, a.id, a.deadline.Milliseconds(), apiKey)
	if a.tokens != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: %s:100\r\n", a.tokens, a.id)
	}
	if a.method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	_ = k.conn.SetDeadline(started.Add(a.deadline))
	if _, err := io.WriteString(k.conn, b.String()); err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	out := answer{isSent: true}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: a.method})
	if err == nil {
		out.status = resp.StatusCode
		k.isClosing = resp.Close
		var body []byte
		body, err = io.ReadAll(resp.Body)
		out.body = string(body)
	}
	out.err, out.took = err, time.Since(started)
	return out
}

// isTimeout reports whether the client's own deadline ended the attempt.
func (a answer) isTimeout() bool {
	var timeout net.Error
	return errors.As(a.err, &timeout) && timeout.Timeout()
}

// client sends requests one after the other on a connection that it keeps as long as the node does.
type client struct {
	record *record
	node   *node
	conn   *kept
}

func (c *client) send(a attempt) answer {
	c.record.add("%s is sent to %s: %s %s", a.id, c.node.name, a.method, a.path)
	out := c.sendKept(a)
	if out.err != nil {
		c.record.add("%s got no whole answer after %.3f s: status %d, %v", a.id, out.took.Seconds(), out.status, out.err)
		return out
	}
	c.record.add("%s is answered %d after %.3f s", a.id, out.status, out.took.Seconds())
	return out
}

func (c *client) sendKept(a attempt) answer {
	if c.conn == nil {
		conn, err := dial(c.node.callerAddress())
		if err != nil {
			return answer{err: err}
		}
		c.conn = conn
	}
	out := c.conn.send(a)
	if out.err != nil || c.conn.isClosing {
		c.close()
	}
	return out
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// lastLine returns the last line of a body that is not empty.
func lastLine(body string) string {
	lines := strings.Split(strings.TrimSpace(body), "\n")
	return lines[len(lines)-1]
}
