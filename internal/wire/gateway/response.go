package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/eventstream"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/intake"
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
	// conn is the connection of the caller, nil if it has no bounds.
	conn *intake.Conn
	// headerSent is set once the header has been sent, status is its status.
	headerSent bool
	status     int
	// assembler is the stream as far as the caller has it.
	assembler eventstream.Assembler
	// stopMove is called with the response's first bytes and keeps the request at its target; it may be nil. onFirstByte is also
	// called then, onStart before the header is sent.
	stopMove    func()
	onFirstByte func()
	onStart     func()
	// hasCrashed reports whether the target of the current response is gone.
	hasCrashed func() bool
	// onHeld is called for each event that is held back.
	onHeld func(eventstream.Held)
	// onBegin is called when the first part of the response is passed on; false if the response can no longer be completed.
	onBegin func() bool
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

func newResponseWriter(w http.ResponseWriter, c *intake.Conn) *responseWriter {
	return &responseWriter{w: w, conn: c}
}

// setPlace sets the caller's place in a stream: one that resumes it has its first events.
func (rw *responseWriter) setPlace(rs *requestState) {
	if rs.route.Resumable {
		rw.assembler = eventstream.NewAssembler(rs.LastEventID)
	}
}

// resumePoint returns the ID of the event after which a target is asked to go on, "" for the start of a stream.
func (rw *responseWriter) resumePoint(rs *requestState) string {
	if !rs.route.Resumable {
		return rs.LastEventID
	}
	return rw.assembler.Place.ID()
}

// receivedBody is what a target has sent of a body, for the log.
type receivedBody struct {
	framing connection.Framing
	bytes   int
	// events is set for a stream only.
	events *eventstream.Progress
	// lastEvent is the ID of the last event that was passed on, firstHeld the first of heldCount events that were not.
	lastEvent string
	firstHeld eventstream.Held
	heldCount int
}

func (b receivedBody) addTo(fields logrus.Fields) {
	fields["framing"] = b.framing
	fields["bytes"] = b.bytes
	if b.events != nil {
		fields["events"] = b.events.Events
		fields["in_event"] = b.events.InEvent
	}
	if b.lastEvent != "" {
		fields["last_event"] = b.lastEvent
	}
	if b.heldCount > 0 {
		fields["held"] = b.heldCount
		fields["held_event"] = b.firstHeld.ID
		fields["held_reason"] = b.firstHeld.Verdict
	}
}

var errCrashed = errors.New("connection was closed and the target is gone")

// endsWithCrash reports whether a response that only the end of its connection marks as complete ended with its target.
func (rw *responseWriter) endsWithCrash(resp *connection.Response) bool {
	return resp.Framing == connection.FramedByClose && rw.hasCrashed()
}

// hasEvents reports whether a response on a streaming route is a stream of events. Targets may omit the content type of a 200 there.
func hasEvents(resp *connection.Response) bool {
	return eventstream.IsStream(resp.Header) || (resp.Status == http.StatusOK && resp.Header.Get("Content-Type") == "")
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// bufferResponse reads a response to its end.
func (rw *responseWriter) bufferResponse(ctx context.Context, resp *connection.Response) (bufferedResponse, error) {
	length, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	data, err := rw.conn.ReadResponse(ctx, resp.Body, length, maxBufferedBytes)
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

// recordFirstByte calls what waits for the first byte of a response.
func (rw *responseWriter) recordFirstByte() {
	if rw.onFirstByte != nil {
		rw.onFirstByte()
		rw.onFirstByte = nil
	}
	if rw.stopMove != nil {
		rw.stopMove()
		rw.stopMove = nil
	}
}

// start sends the header of a stream, unless it has been sent. Events may be held back or follow from another target, so that
// the length of the response is not known.
func (rw *responseWriter) start(resp *connection.Response) {
	if rw.headerSent {
		return
	}
	rw.headerSent, rw.status = true, resp.Status
	rw.onStart()
	copyHeader(rw.w, resp.Header)
	rw.w.Header().Del("Content-Length")
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
