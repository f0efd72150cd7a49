package connection

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

func isOwnCall(h http.Header) bool { return h.Get("Call") == "own" }

func TestCopyFilterEndsBodyAtSecondResponse(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nCall: own\r\n\r\nhello"
	tests := []struct{ name, data, want string }{
		{name: "no copy", data: "hello", want: "hello"},
		{name: "copy", data: "hello" + second, want: "hello"},
		{name: "copy behind an empty body", data: second, want: ""},
		{name: "copy behind a part of a version", data: "HTTP/" + second, want: "HTTP/"},
		{name: "response to another call", data: "HTTP/1.1 200 OK\r\nCall: other\r\n\r\nhello", want: "HTTP/1.1 200 OK\r\nCall: other\r\n\r\nhello"},
		{name: "head with bare line feeds", data: "HTTP/1.1 200 OK\nCall: own\n\nhello", want: "HTTP/1.1 200 OK\nCall: own\n\nhello"},
		{name: "cut in the head", data: "helloHTTP/1.1 200 OK\r\nCall: o", want: "helloHTTP/1.1 200 OK\r\nCall: o"},
		{name: "words about the protocol", data: "data: HTTP/1.1 200 OK\r\n\r\ndata: x\r\n\r\n", want: "data: HTTP/1.1 200 OK\r\n\r\ndata: x\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.DataErrReader} {
			got, err := io.ReadAll(&copyFilter{body: io.NopCloser(read(bytes.NewReader([]byte(tt.data)))), isOwn: isOwnCall})
			if string(got) != tt.want || err != nil {
				t.Errorf("%s: got %q (%v), want %q", tt.name, got, err, tt.want)
			}
		}
	}
}

// TestCopyFilterFailsAtOtherStatus covers a second response that is no copy of the first one: its target has broken that one off.
func TestCopyFilterFailsAtOtherStatus(t *testing.T) {
	tests := []struct {
		name, second string
		complete     bool
	}{
		{name: "same status", second: "HTTP/1.1 200 OK\r\nCall: own\r\n\r\nhello", complete: true},
		{name: "other status", second: "HTTP/1.1 500 Internal Server Error\r\nCall: own\r\n\r\nboom"},
	}
	for _, tt := range tests {
		got, err := io.ReadAll(&copyFilter{body: io.NopCloser(strings.NewReader("hello" + tt.second)), isOwn: isOwnCall, status: http.StatusOK})
		if string(got) != "hello" || (err == nil) != tt.complete {
			t.Errorf("%s: got %q (%v), want the first body, complete %t", tt.name, got, err, tt.complete)
		}
	}
}

// FuzzCopyFilter checks that the body does not depend on how its bytes arrive, and that nothing but a second response is left out.
func FuzzCopyFilter(f *testing.F) {
	f.Add([]byte("helloHTTP/1.1 200 OK\r\nCall: own\r\n\r\nhello"), 3)
	f.Add([]byte("HTTP/1.HTTP/1.1 200 OK\r\nCall: own\r\n\r\n"), 9)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		split = min(max(split, 0), len(data))
		filter := func(r io.Reader) []byte {
			got, err := io.ReadAll(&copyFilter{body: io.NopCloser(r), isOwn: isOwnCall})
			if err != nil {
				t.Errorf("got error %v", err)
			}
			return got
		}
		want := filter(bytes.NewReader(data))
		got := filter(io.MultiReader(bytes.NewReader(data[:split]), bytes.NewReader(data[split:])))
		if !bytes.Equal(got, want) {
			t.Errorf("got %q in two parts, %q in one", got, want)
		}
		if head, isWhole := responseHead(data[len(want):]); len(want) < len(data) && (!isWhole || !isResponseTo(head, isOwnCall)) {
			t.Errorf("got %q of %q, and no second response behind it", want, data)
		}
	})
}

// readSizes is an endless body that begins a head again and again, and records the largest read.
type readSizes struct{ largest int }

func (r *readSizes) Read(p []byte) (int, error) {
	r.largest = max(r.largest, len(p))
	return copy(p, bytes.Repeat([]byte(versionPrefix), 1+len(p)/len(versionPrefix))), nil
}

// TestCopyFilterLooksThroughLittleAtOnce guards against a large read of a body that seems to begin a head at many places, each of which is
// looked for up to the end of the read: 4 MB took 38 s.
func TestCopyFilterLooksThroughLittleAtOnce(t *testing.T) {
	body := &readSizes{}
	f := &copyFilter{body: io.NopCloser(body), isOwn: func(http.Header) bool { return false }, status: http.StatusOK}
	buf := make([]byte, 4<<20)
	for range 4 {
		n, err := f.Read(buf)
		if err != nil || n == 0 {
			t.Fatalf("got %d bytes and error %v, want some", n, err)
		}
	}
	if body.largest > maxFilteredRead {
		t.Errorf("got a read of %d bytes, want at most %d", body.largest, maxFilteredRead)
	}
	if got, most := len(f.ready)+len(f.pending), maxFilteredRead+maxCopyHeadBytes; got > most {
		t.Errorf("got %d bytes kept, want at most %d", got, most)
	}
}
