package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
)

const maxBody = 1 << 20

func (e *Engine) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/run", e.run)
	m.HandleFunc("POST /v1/cancel", e.cancel)
	m.HandleFunc("GET /v1/load", e.load)
	m.HandleFunc("PUT /standin/faults", e.putFaults)
	m.HandleFunc("POST /standin/chill", func(http.ResponseWriter, *http.Request) { e.MakeCold() })
	m.HandleFunc("POST /standin/warm", func(http.ResponseWriter, *http.Request) { e.MakeWarm() })
	m.HandleFunc("POST /standin/crash", e.putCrash)
	m.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Counts()) })
	return m
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// putCrash makes the engine fall over; it comes back, cold, after its restart time.
func (e *Engine) putCrash(http.ResponseWriter, *http.Request) {
	e.Stop()
	time.AfterFunc(e.cfg.RestartDelay, func() { _ = e.Start() })
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := backend.Load{Running: len(e.running), Draining: e.faults.Draining}
	e.mu.Unlock()
	l.Boot = e.bootName()
	_ = json.NewEncoder(w).Encode(l)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.URL.Query().Get("attempt")
	if stop, ok := e.running[id]; ok {
		stop()
		delete(e.running, id)
	}
}

// call is one request under way.
type call struct {
	w      http.ResponseWriter
	id     string
	stage  string
	after  int
	body   body
	time   time.Duration
	crash  <-chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c := &call{w: w, id: r.Header.Get(backend.HeaderAttempt), stage: r.Header.Get(backend.HeaderStage), ctx: ctx, cancel: cancel}
	c.after, _ = strconv.Atoi(r.Header.Get(backend.HeaderAfter))
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&c.body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.use(func(f *Faults) *int { return &f.Errors }) {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(backend.HeaderFence), 10, 64)
	how, took, crash := e.arrive(c.id, fence, cancel)
	w.Header().Set(backend.HeaderBoot, e.bootName())
	switch how {
	case taken:
	case tooMuch:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(backend.HeaderRefused, string(how))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.time, c.crash = took, crash
	started := time.Now()
	whole := e.serve(c)
	e.leave(c.id, whole, time.Since(started))
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// serve runs a call; false means that the connection ends without a whole answer.
func (e *Engine) serve(c *call) bool {
	if e.use(func(f *Faults) *int { return &f.Stalls }) {
		select {
		case <-c.ctx.Done():
		case <-c.crash:
		}
		return false
	}
	named := c.id
	if e.use(func(f *Faults) *int { return &f.MismatchedAnswers }) {
		named = "another/" + c.id
	}
	c.w.Header().Set(backend.HeaderAttempt, c.id)
	c.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(c.w).Flush()
	if e.cfg.Events > 0 {
		return e.serveStream(c, named)
	}
	if !wait(c, c.time) {
		return false
	}
	e.effect(c.body.Input.Order)
	if e.use(func(f *Faults) *int { return &f.LostAnswers }) {
		return false
	}
	return e.finish(c, named, 0)
}

func wait(c *call, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	case <-c.crash:
		return false
	}
}

func (e *Engine) serveStream(c *call, named string) bool {
	cut := e.use(func(f *Faults) *int { return &f.CutStreams })
	double := e.use(func(f *Faults) *int { return &f.DuplicatedStreams })
	flush := http.NewResponseController(c.w)
	step := c.time / time.Duration(e.cfg.Events)
	for n := c.after + 1; n <= e.cfg.Events; n++ {
		if !wait(c, step) || (cut && n > e.cfg.Events/2) {
			return false
		}
		line := fmt.Sprintf(`{"attempt":%q,"n":%d,"data":{"order":%q,"token":%d}}`+"\n", named, n, c.body.Input.Order, n)
		if double {
			line += line
		}
		if _, err := io.WriteString(c.w, line); err != nil {
			return false
		}
		_ = flush.Flush()
	}
	e.effect(c.body.Input.Order)
	return e.finish(c, named, e.cfg.Events)
}

func (e *Engine) finish(c *call, named string, events int) bool {
	a := Output{Order: c.body.Input.Order, Stage: c.stage, PriorCount: len(c.body.Prior), Events: events}
	output, err := json.Marshal(a)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(c.w, `{"attempt":%q,"end":true,"n":%d,"output":%s}`+"\n", named, events, output)
	return err == nil
}
