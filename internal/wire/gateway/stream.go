package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/eventstream"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/intake"
)

var errEventTooLarge = errors.New("event is too large")

// eventCopies is the number of copies of an event when it ends: as it was read, and as a whole.
const eventCopies = 2

// holdEvent waits until there is room for what is kept of a stream. What one read brings has room in the connection's buffers.
func (rw *responseWriter) holdEvent(ctx context.Context, held *intake.Holding) error {
	size := rw.assembler.Size()
	if size <= readSize {
		size = 0
	}
	return held.Resize(ctx, int64(eventCopies*size))
}

// stream passes the complete events of a response on as they arrive. Another target may continue a resumable stream after them.
func (rw *responseWriter) stream(ctx context.Context, r *http.Request, resp *connection.Response, resumable bool) sendResult {
	if !hasEvents(resp) {
		return rw.copyBody(ctx, r, resp)
	}
	rw.assembler = rw.assembler.WithResponse()
	rw.received = receivedBody{framing: resp.Framing, events: &eventstream.Progress{}}
	buf := make([]byte, readSize)
	held := rw.conn.NewHolding()
	defer held.Free()
	eventless := 0
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			rw.recordFirstByte()
			events := rw.assembler.Response.Events
			failure, e := rw.passEvents(resp, buf[:n])
			if errors.Is(e, errStopping) {
				return sendResult{final: stopFailure()}
			}
			if e != nil {
				return sendResult{final: cancellation()}
			}
			if eventless += n; rw.assembler.Response.Events > events {
				eventless = 0
			}
			if eventless > maxEventBytes {
				failure = errEventTooLarge
			}
			if failure == nil {
				failure = rw.holdEvent(ctx, held)
			}
			if failure != nil {
				return rw.interruption(ctx, r, resumable, failure)
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			err = rw.assembler.EndError(resp.Framing != connection.FramedByClose)
			if err == nil && rw.endsWithCrash(resp) {
				err = errCrashed
			}
		}
		if err != nil {
			return rw.interruption(ctx, r, resumable, err)
		}
		rw.start(resp)
		if e := rw.write(rw.assembler.Rest()); e != nil {
			return sendResult{final: cancellation()}
		}
		return sendResult{final: &outcome{kind: answered, status: resp.Status, written: true}}
	}
}

// resume goes on with a stream that the caller has begun to receive. Nothing of a response that is not the same stream reaches the
// caller.
func (rw *responseWriter) resume(ctx context.Context, r *http.Request, resp *connection.Response) sendResult {
	if resp.Status != rw.status || !hasEvents(resp) {
		reason := fmt.Sprintf("stream was not resumed: status %d, content type %q", resp.Status, resp.Header.Get("Content-Type"))
		return sendResult{fallback: &outcome{kind: truncated, cause: causeNotResumed, reason: reason, abort: true}, mayHaveRun: true, countsAsAttempt: true}
	}
	return rw.stream(ctx, r, resp, true)
}

// passEvents passes on what data completes. failure is set if the response cannot be used further, err if the caller has left, or
// errStopping if the response may not begin.
func (rw *responseWriter) passEvents(resp *connection.Response, data []byte) (failure, err error) {
	var passed eventstream.Passed
	rw.assembler, passed, failure = rw.assembler.With(data)
	rw.received.bytes += len(data)
	*rw.received.events = rw.assembler.Response
	rw.received.lastEvent = rw.assembler.Place.ID()
	for _, h := range passed.Held {
		if rw.received.heldCount == 0 {
			rw.received.firstHeld = h
		}
		rw.received.heldCount++
		rw.onHeld(h)
	}
	if len(passed.Text) == 0 {
		return failure, nil
	}
	if !rw.headerSent && !rw.onBegin() {
		return failure, errStopping
	}
	rw.start(resp)
	return failure, rw.write(passed.Text)
}

// copyBody passes on a response of a streaming route that is no stream of events.
func (rw *responseWriter) copyBody(ctx context.Context, r *http.Request, resp *connection.Response) sendResult {
	rw.received = receivedBody{framing: resp.Framing}
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		rw.received.bytes += n
		if n > 0 {
			rw.recordFirstByte()
			if !rw.headerSent && !rw.onBegin() {
				return sendResult{final: stopFailure()}
			}
			rw.start(resp)
			if e := rw.write(buf[:n]); e != nil {
				return sendResult{final: cancellation()}
			}
			if rw.received.bytes > maxBufferedBytes {
				err = errors.New("response is too large")
			}
		}
		if err == io.EOF {
			err = nil
			if rw.endsWithCrash(resp) {
				err = errCrashed
			}
			if err == nil {
				rw.start(resp)
				return sendResult{final: &outcome{kind: answered, status: resp.Status, written: true}}
			}
		}
		if err != nil {
			return rw.interruption(ctx, r, false, err)
		}
	}
}

// interruption returns the result of a stream that broke off.
func (rw *responseWriter) interruption(ctx context.Context, r *http.Request, resumable bool, err error) sendResult {
	if r.Context().Err() != nil {
		return sendResult{final: cancellation()}
	}
	broken := brokenMidway
	switch {
	case ctx.Err() != nil || errors.Is(err, eventstream.ErrNotContinued):
		broken = notBroken
	case rw.received.events == nil || rw.received.events.Events == 0:
		broken = brokenBegun
	}
	if !rw.headerSent {
		return sendResult{fallback: failure(http.StatusBadGateway, causeTruncated, "stream was cut before its first event").withError(err), mayHaveRun: true, countsAsAttempt: true, broken: broken}
	}
	out := &outcome{kind: truncated, cause: causeTruncated, reason: "stream was cut: " + err.Error(), abort: true}
	if !resumable || !rw.assembler.Place.CanContinue() || (ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved)) {
		return sendResult{final: out, broken: broken}
	}
	return sendResult{fallback: out, mayHaveRun: true, countsAsAttempt: true, broken: broken}
}
