package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/eventstream"
)

const (
	// maxBufferedBytes bounds a response that is read completely before it is passed on.
	maxBufferedBytes = 16 << 20
	// readSize is how many bytes of a stream are read at once.
	readSize = 16 << 10
	// maxEventBytes bounds what a stream may bring without completing an event.
	maxEventBytes = 1 << 20
)

// responseWriter writes the response of one request to its caller.
type responseWriter struct {
	w http.ResponseWriter
	// headerSent is set once the header has been sent.
	headerSent bool
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// stopMove is called with the response's first bytes and keeps the request at its target; it may be nil.
	// onFirstByte is also called then.
	stopMove    func()
	onFirstByte func()
	// hasCrashed reports whether the target of the current response is gone.
	hasCrashed func() bool
	// received is what the last target has sent.
	received receivedBody
}

// finalOutcome returns the outcome of a request. A response of which a part has been sent can only be aborted, unless o
// completes it.
func (rw *responseWriter) finalOutcome(o *outcome) *outcome {
	if !rw.headerSent || o.written || o.abort {
		return o
	}
	return &outcome{kind: truncated, cause: causeNotResumed, reason: "stream was not resumed: " + o.reason, abort: true, inputLost: o.inputLost}
}

// resumePoint returns the ID of the event after which a target is asked to go on, "" for the start of a stream.
func (rw *responseWriter) resumePoint(rs *requestState) string {
	if rw.headerSent {
		return rw.lastEventID
	}
	return rs.LastEventID
}

// receivedBody is what a target has sent of a body, for the log.
type receivedBody struct {
	framing connection.Framing
	bytes   int
	// events is set for a stream only.
	events *eventstream.Progress
	// firstEvent and lastEvent are the IDs of the first and the last complete event of a resumable stream.
	firstEvent, lastEvent string
}

func (b receivedBody) addTo(fields logrus.Fields) {
	fields["framing"] = b.framing
	fields["bytes"] = b.bytes
	if b.events != nil {
		fields["events"] = b.events.Events
		fields["in_event"] = b.events.InEvent
	}
	if b.firstEvent != "" {
		fields["first_event"] = b.firstEvent
		fields["last_event"] = b.lastEvent
	}
}

var errCrashed = errors.New("connection was closed and the target is gone")

// endsWithCrash reports whether a response that only the end of its connection marks as complete ended with its target.
func (rw *responseWriter) endsWithCrash(resp *connection.Response) bool {
	return resp.Framing == connection.FramedByClose && rw.hasCrashed()
}

// maxEventless returns how many bytes a response may have without completing an event.
func maxEventless(h http.Header) int {
	if h.Get("Content-Type") != "" && !eventstream.IsStream(h) {
		return maxBufferedBytes
	}
	return maxEventBytes
}

// endError returns why a stream that was read without an error is truncated, or nil. Targets may omit the content type
// on a streaming route.
func (b receivedBody) endError(h http.Header) error {
	if h.Get("Content-Type") != "" && !eventstream.IsStream(h) {
		return nil
	}
	return b.events.EndError(b.framing != connection.FramedByClose)
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// bufferResponse reads a response to its end.
func (rw *responseWriter) bufferResponse(resp *connection.Response) (bufferedResponse, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(data) > maxBufferedBytes {
		err = errors.New("response is too large")
	}
	if err == nil && eventstream.IsStream(resp.Header) {
		events, _ := eventstream.Progress{}.With(data)
		err = events.EndError(resp.Framing != connection.FramedByClose)
	}
	if err == nil && rw.endsWithCrash(resp) {
		err = errCrashed
	}
	rw.received.bytes = len(data)
	return bufferedResponse{status: resp.Status, header: resp.Header, body: data}, err
}

// outcome returns the response as the outcome of a request whose other attempts bring nothing better.
func (b bufferedResponse) outcome(w http.ResponseWriter) *outcome {
	return &outcome{kind: answered, status: b.status, writeBuffered: func() { b.write(w) }}
}

// write passes the response on.
func (b bufferedResponse) write(w http.ResponseWriter) *outcome {
	copyHeader(w, b.header)
	if b.status != http.StatusNoContent && b.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	w.WriteHeader(b.status)
	// A write error concerns only a caller that has left.
	_, _ = w.Write(b.body)
	return &outcome{kind: answered, status: b.status, written: true}
}

// copyHeader copies a response header; nothing is added that the target did not send.
func copyHeader(w http.ResponseWriter, from http.Header) {
	h := w.Header()
	maps.Copy(h, from)
	for _, name := range connection.HopByHopHeaders {
		h.Del(name)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if from.Get(name) == "" {
			h[name] = nil
		}
	}
}

func discardBody(resp *connection.Response) {
	// The rest of a refusal is read only so that its connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readSize))
}

// stream passes events on as they arrive. If the stream is resumable, only complete events are passed on, so that
// another target can continue after them.
func (rw *responseWriter) stream(ctx context.Context, r *http.Request, resp *connection.Response, resumable bool) sendResult {
	buf := make([]byte, readSize)
	var pending []byte
	eventless := 0
	rw.received = receivedBody{framing: resp.Framing, events: &eventstream.Progress{}}
	for {
		n, err := resp.Body.Read(buf)
		rw.received.bytes += n
		var boundary int
		events := rw.received.events.Events
		*rw.received.events, boundary = rw.received.events.With(buf[:n])
		eventless += n
		if rw.received.events.Events > events {
			eventless = 0
		}
		if n > 0 {
			rw.start(resp, resumable)
			out := buf[:n]
			if resumable {
				before := len(pending)
				pending = append(pending, out...)
				out = nil
				if boundary > 0 {
					out, pending = pending[:before+boundary], pending[before+boundary:]
				}
				rw.recordEventID(out)
			}
			if e := rw.write(out); e != nil {
				return sendResult{final: cancellation()}
			}
			if eventless > maxEventless(resp.Header) {
				err = errors.New("event is too large")
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			err = rw.received.endError(resp.Header)
			if err == nil && rw.endsWithCrash(resp) {
				err = errCrashed
			}
		}
		if err == nil {
			rw.start(resp, resumable)
			if e := rw.write(pending); e != nil {
				return sendResult{final: cancellation()}
			}
			return sendResult{final: &outcome{kind: answered, status: resp.Status, written: true}}
		}
		return rw.interruption(ctx, r, resumable, err)
	}
}

// interruption returns the result of a stream that broke off.
func (rw *responseWriter) interruption(ctx context.Context, r *http.Request, resumable bool, err error) sendResult {
	if r.Context().Err() != nil {
		return sendResult{final: cancellation()}
	}
	broken := brokenMidway
	switch {
	case ctx.Err() != nil:
		broken = notBroken
	case rw.received.events.Events == 0:
		broken = brokenBegun
	}
	if !rw.headerSent {
		return sendResult{fallback: failure(http.StatusBadGateway, causeTruncated, "stream was cut before its first event").withError(err), mayHaveRun: true, countsAsAttempt: true, broken: broken}
	}
	out := &outcome{kind: truncated, cause: causeTruncated, reason: "stream was cut: " + err.Error(), abort: true}
	if !resumable || (ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved)) {
		return sendResult{final: out, broken: broken}
	}
	return sendResult{fallback: out, mayHaveRun: true, countsAsAttempt: true, broken: broken}
}

func (rw *responseWriter) start(resp *connection.Response, resumable bool) {
	if rw.onFirstByte != nil {
		rw.onFirstByte()
		rw.onFirstByte = nil
	}
	if rw.stopMove != nil {
		rw.stopMove()
		rw.stopMove = nil
	}
	if rw.headerSent {
		return
	}
	rw.headerSent = true
	copyHeader(rw.w, resp.Header)
	if resumable {
		rw.w.Header().Del("Content-Length")
	}
	rw.w.WriteHeader(resp.Status)
}

func (rw *responseWriter) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := rw.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(rw.w).Flush()
}

// recordEventID records the ID of the last event.
func (rw *responseWriter) recordEventID(events []byte) {
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			rw.lastEventID = string(bytes.TrimSpace(v))
			rw.received.lastEvent = rw.lastEventID
			if rw.received.firstEvent == "" {
				rw.received.firstEvent = rw.lastEventID
			}
		}
	}
}
