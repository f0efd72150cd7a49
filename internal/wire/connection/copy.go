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

// copyFilter reads a body that ends with its connection, and ends it where a second response to the same request begins: nothing
// else marks the end of the first one.
type copyFilter struct {
	body  io.ReadCloser
	isOwn func(http.Header) bool
	// ready is body that may be read, pending what may begin a second response.
	ready, pending []byte
	err            error
}

func (f *copyFilter) Read(p []byte) (int, error) {
	for len(f.ready) == 0 && f.err == nil {
		buf := make([]byte, max(len(p), 1))
		n, err := f.body.Read(buf)
		f.pending = append(f.pending, buf[:n]...)
		f.err = err
		length, isCopy := bodyLength(f.pending, f.isOwn)
		if isCopy {
			f.err = io.EOF
		} else if err != nil {
			length = len(f.pending)
		}
		f.ready, f.pending = f.pending[:length], bytes.Clone(f.pending[length:])
	}
	n := copy(p, f.ready)
	f.ready = f.ready[n:]
	if len(f.ready) > 0 {
		return n, nil
	}
	return n, f.err
}

// Close closes the body.
func (f *copyFilter) Close() error { return f.body.Close() }

// bodyLength returns how much of data is body for certain. isCopy is set if the head of a second response follows; otherwise the
// rest of data may begin one.
func bodyLength(data []byte, isOwn func(http.Header) bool) (length int, isCopy bool) {
	for length < len(data) {
		n := bytes.IndexByte(data[length:], versionPrefix[0])
		if n < 0 {
			return len(data), false
		}
		length += n
		switch head, isWhole := responseHead(data[length:]); {
		case head == nil:
			length++
		case !isWhole && len(head) < maxCopyHeadBytes:
			return length, false
		case isWhole && isResponseTo(head, isOwn):
			return length, true
		default:
			length++
		}
	}
	return length, false
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
