package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
)

const (
	// maxKept bounds an answer that is read whole before it is passed on, in bytes.
	maxKept = 16 << 20
	// chunk is how much of a stream is read at once.
	chunk = 16 << 10
	// maxEvent bounds one event of a stream that may be resumed.
	maxEvent = 1 << 20
)

// answer is the caller's side of a request.
type answer struct {
	w http.ResponseWriter
	// begun says that the header is out.
	begun bool
	// last is the id of the last event that the caller has.
	last string
	// begins is called when the answer's first bytes are there; it may be nil.
	begins func()
	first  func()
}

// ended gives the outcome of a request; once a part of an answer is out, the only other end is to break it off.
func (s *answer) ended(o *outcome) *outcome {
	if !s.begun || o.written || o.abort {
		return o
	}
	return &outcome{kind: broken, cause: causeUnresumed, reason: "stream was not resumed: " + o.reason, abort: true, inputGone: o.inputGone}
}

// kept is a whole answer of a target.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// keep reads an answer to its end.
func keep(a *connection.Response) (kept, error) {
	data, err := io.ReadAll(io.LimitReader(a.Body, maxKept+1))
	if err == nil && len(data) > maxKept {
		err = errors.New("answer is too large")
	}
	return kept{status: a.Status, header: a.Header, body: data}, err
}

// outcome is the answer as the outcome of a request whose other attempts bring nothing better.
func (k kept) outcome(w http.ResponseWriter) *outcome {
	return &outcome{kind: answered, status: k.status, later: func() { k.send(w) }}
}

// send passes an answer on.
func (k kept) send(w http.ResponseWriter) *outcome {
	head(w, k.header)
	if k.status != http.StatusNoContent && k.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	w.WriteHeader(k.status)
	// A caller that has left misses only its own answer.
	_, _ = w.Write(k.body)
	return &outcome{kind: answered, status: k.status, written: true}
}

// head copies an answer's header; nothing is added that the target did not send.
func head(w http.ResponseWriter, from http.Header) {
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

func drain(a *connection.Response) {
	// What is left of a refusal is only read so that its connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, chunk))
}

// stream passes events on as they come. Where the stream may be resumed only whole events are, so that another
// target can go on behind them.
func (s *answer) stream(ctx context.Context, r *http.Request, a *connection.Response, whole bool) step {
	buf := make([]byte, chunk)
	var pending []byte
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			s.begin(a, whole)
			out := buf[:n]
			if whole {
				pending = append(pending, out...)
				end := eventsEnd(pending)
				out = pending[:end]
				s.note(out)
				pending = pending[end:]
			}
			if e := s.pass(out); e != nil {
				return step{out: callerLeft()}
			}
			if len(pending) > maxEvent {
				err = errors.New("event is too large")
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			s.begin(a, whole)
			if e := s.pass(pending); e != nil {
				return step{out: callerLeft()}
			}
			return step{out: &outcome{kind: answered, status: a.Status, written: true}}
		}
		return s.cut(ctx, r, whole, err)
	}
}

// cut settles a stream that broke off.
func (s *answer) cut(ctx context.Context, r *http.Request, whole bool, err error) step {
	if r.Context().Err() != nil {
		return step{out: callerLeft()}
	}
	if !s.begun {
		return step{last: failure(http.StatusBadGateway, causeCut, "stream was cut before its first event"), ran: true, counts: true}
	}
	out := &outcome{kind: broken, cause: causeCut, reason: "stream was cut: " + err.Error(), abort: true}
	if !whole || (ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved)) {
		return step{out: out}
	}
	return step{last: out, ran: true, counts: true}
}

func (s *answer) begin(a *connection.Response, whole bool) {
	if s.first != nil {
		s.first()
		s.first = nil
	}
	if s.begins != nil {
		s.begins()
		s.begins = nil
	}
	if s.begun {
		return
	}
	s.begun = true
	head(s.w, a.Header)
	if whole {
		s.w.Header().Del("Content-Length")
	}
	s.w.WriteHeader(a.Status)
}

func (s *answer) pass(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// eventsEnd is the length of the whole events at the start of data.
func eventsEnd(data []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// note remembers the id of the last event.
func (s *answer) note(events []byte) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.last = string(bytes.TrimSpace(v))
		}
	}
}
