package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// versionPrefix begins the head of each response.
const versionPrefix = "HTTP/1."

// maxCopyHeadBytes bounds the head of a second response that is looked for behind a body.
const maxCopyHeadBytes = 16 << 10

// maxFilteredRead bounds what is looked through at once: each byte in it may begin a head that is looked for up to the end.
const maxFilteredRead = 16 << 10

// copyFilter reads a body behind or within which another response may stand. A second response to the same request ends a body that
// ends with its connection, since nothing else marks its end. A response to an earlier request of the connection is an error: the
// rest of the body cannot be told from it.
type copyFilter struct {
	body io.ReadCloser
	// isOwn and isStray report which response begins; they may be nil.
	isOwn   func(http.Header) bool
	isStray func(status int, h http.Header) bool
	// status is that of the body's response; a second one with another status is no copy. 0 takes any for a copy.
	status int
	// following returns what has been received behind the body; it may be nil.
	following func() []byte
	// ready is body that may be read, pending what may begin another response.
	ready, pending []byte
	err            error
}

var errStray = errors.New("body holds a response to another request")

// filterBody returns the body of a response without other responses.
func (c *conn) filterBody(resp *http.Response, r Request) io.ReadCloser {
	f := &copyFilter{body: resp.Body}
	if framing(resp) == FramedByClose {
		f.isOwn, f.status = r.IsOwn, resp.StatusCode
	} else {
		f.following = c.received
	}
	if c.wasUsed {
		f.isStray = r.IsStray
	}
	if resp.Body == http.NoBody || (f.isOwn == nil && f.isStray == nil) {
		return resp.Body
	}
	return f
}

// received returns bytes that have been received and not been read.
func (c *conn) received() []byte {
	// No error can come from bytes that are buffered, and without any in the socket nothing follows yet.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	held, _ := c.peek(len(versionPrefix))
	return append(bytes.Clone(buffered), held...)
}

func (f *copyFilter) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxFilteredRead)]
	if len(f.ready) == 0 && len(f.pending) == 0 && f.err == nil {
		n, err := f.body.Read(p)
		if bytes.IndexByte(p[:n], versionPrefix[0]) < 0 {
			f.err = err
			return n, err
		}
		f.add(p[:n], err)
	}
	for len(f.ready) == 0 && f.err == nil {
		buf := make([]byte, max(len(p), 1))
		n, err := f.body.Read(buf)
		f.add(buf[:n], err)
	}
	n := copy(p, f.ready)
	f.ready = f.ready[n:]
	if len(f.ready) > 0 {
		return n, nil
	}
	return n, f.err
}

var errAnsweredAgain = errors.New("target broke the response off and answered again")

// endError returns the error with which the body ends where a second response begins.
func (f *copyFilter) endError(second []byte) error {
	if f.status == 0 {
		return io.EOF
	}
	head, _ := responseHead(second)
	if resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil); err != nil || resp.StatusCode != f.status {
		return errAnsweredAgain
	}
	return io.EOF
}

// add takes what was read of the body, and the error with which the read ended.
func (f *copyFilter) add(data []byte, err error) {
	f.pending = append(f.pending, data...)
	f.err = err
	length, next := f.bodyLength(f.pending)
	switch {
	case next == ownResponse:
		f.err = f.endError(f.pending[length:])
	case next == strayResponse, err == io.EOF && f.goesOn(f.pending[length:]):
		f.err = errStray
	case err != nil:
		length = len(f.pending)
	}
	f.ready, f.pending = f.pending[:length], bytes.Clone(f.pending[length:])
}

// goesOn reports whether the end of a body and what follows it are the head of one response.
func (f *copyFilter) goesOn(end []byte) bool {
	if f.following == nil || len(end) == 0 {
		return false
	}
	rest := f.following()
	if begun, _ := responseHead(rest); len(rest) == 0 || begun != nil {
		return false
	}
	head, _ := responseHead(append(bytes.Clone(end), rest...))
	return len(head) >= len(versionPrefix)
}

// Close closes the body.
func (f *copyFilter) Close() error { return f.body.Close() }

// nextResponse is what follows a body.
type nextResponse string

const (
	noResponse    nextResponse = ""
	ownResponse   nextResponse = "own"
	strayResponse nextResponse = "stray"
)

// bodyLength returns how much of data is body for certain, and which response begins behind it; if none does, the rest of data may
// begin one.
func (f *copyFilter) bodyLength(data []byte) (length int, next nextResponse) {
	for length < len(data) {
		n := bytes.IndexByte(data[length:], versionPrefix[0])
		if n < 0 {
			return len(data), noResponse
		}
		length += n
		head, isWhole := responseHead(data[length:])
		if head != nil && !isWhole && len(head) < maxCopyHeadBytes {
			return length, noResponse
		}
		if head != nil && isWhole {
			if next := f.kind(head); next != noResponse {
				return length, next
			}
		}
		length++
	}
	return length, noResponse
}

// kind returns which response a whole head begins.
func (f *copyFilter) kind(head []byte) nextResponse {
	switch {
	case f.isOwn != nil && isResponseTo(head, f.isOwn):
		return ownResponse
	case f.isStray != nil && isStrayResponse(head, f.isStray):
		return strayResponse
	default:
		return noResponse
	}
}

// responseHead returns the head of a response with which data begins; it is not whole if data ends inside it, and nil if data
// begins with something else.
func responseHead(data []byte) (head []byte, isWhole bool) {
	if n := min(len(data), len(versionPrefix)); string(data[:n]) != versionPrefix[:n] {
		return nil, false
	}
	for at, isFirst := 0, true; ; isFirst = false {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return data, false
		}
		line, ok := bytes.CutSuffix(data[at:at+n], []byte("\r"))
		at += n + 1
		switch {
		case !ok:
			return nil, false
		case len(line) == 0:
			return data[:at], true
		case !isFirst && bytes.IndexByte(line, ':') <= 0:
			return nil, false
		}
	}
}

// isResponseTo reports whether a head is that of a response to the request that isOwn knows.
func isResponseTo(head []byte, isOwn func(http.Header) bool) bool {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	return err == nil && isOwn(resp.Header)
}

// isStrayResponse reports whether a head is that of a response that isStray knows.
func isStrayResponse(head []byte, isStray func(int, http.Header) bool) bool {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	return err == nil && isStray(resp.StatusCode, resp.Header)
}

var errMerged = errors.New("response header holds a part of another response")

// isMerged reports whether the status line of another response stands in a header: the one response was written inside the other, and
// the fields may be those of either.
func isMerged(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether the version and status of a response stand in a text.
func hasStatusLine(text string) bool {
	for {
		_, rest, ok := strings.Cut(text, versionPrefix)
		if !ok {
			return false
		}
		if len(rest) >= len("1 200") && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
