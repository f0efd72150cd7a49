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
	m.HandleFunc("POST /standin/crash", e.crashAndRestart)
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

// crashAndRestart crashes the engine, which restarts cold after its restart delay.
func (e *Engine) crashAndRestart(http.ResponseWriter, *http.Request) {
	e.Stop()
	time.AfterFunc(e.cfg.RestartDelay, func() { _ = e.Start() })
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := backend.Load{Running: len(e.running), Draining: e.faults.Draining}
	e.mu.Unlock()
	l.BootID = e.bootID()
	_ = json.NewEncoder(w).Encode(l)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.URL.Query().Get("attempt")
	if cancel, ok := e.running[id]; ok {
		cancel()
		delete(e.running, id)
	}
}

// execution is the run of one request.
type execution struct {
	w           http.ResponseWriter
	id          string
	stage       string
	after       int
	body        requestBody
	serviceTime time.Duration
	crashed     <-chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &execution{w: w, id: r.Header.Get(backend.HeaderAttempt), stage: r.Header.Get(backend.HeaderStage), ctx: ctx, cancel: cancel}
	x.after, _ = strconv.Atoi(r.Header.Get(backend.HeaderAfter))
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&x.body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.consumeFault(func(f *Faults) *int { return &f.Errors }) {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get(backend.HeaderFence), 10, 64)
	decision, serviceTime, crashed := e.admit(x.id, token, cancel)
	w.Header().Set(backend.HeaderBoot, e.bootID())
	w.Header().Set(backend.HeaderAttempt, x.id)
	if limit := e.limit(); limit > 0 {
		w.Header().Set(backend.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	switch decision {
	case admitted:
	case overCapacity:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(backend.HeaderRefused, string(decision))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.serviceTime, x.crashed = serviceTime, crashed
	started := time.Now()
	complete := e.serve(x)
	e.finish(x.id, complete, time.Since(started))
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// serve runs a request; false means that the connection must be closed since the response is incomplete.
func (e *Engine) serve(x *execution) bool {
	if e.consumeFault(func(f *Faults) *int { return &f.Stalls }) {
		select {
		case <-x.ctx.Done():
		case <-x.crashed:
		}
		return false
	}
	attempt := x.id
	if e.consumeFault(func(f *Faults) *int { return &f.MismatchedResponses }) {
		attempt = "another/" + x.id
	}
	x.w.Header().Set(backend.HeaderAttempt, x.id)
	x.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(x.w).Flush()
	if e.cfg.Events > 0 {
		return e.serveStream(x, attempt)
	}
	if !wait(x, x.serviceTime) {
		return false
	}
	e.applyEffect(x.body.Input.Order)
	if e.consumeFault(func(f *Faults) *int { return &f.LostResponses }) {
		return false
	}
	return e.writeEnd(x, attempt, 0)
}

func wait(x *execution, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.ctx.Done():
		return false
	case <-x.crashed:
		return false
	}
}

func (e *Engine) serveStream(x *execution, attempt string) bool {
	truncated := e.consumeFault(func(f *Faults) *int { return &f.CutStreams })
	duplicated := e.consumeFault(func(f *Faults) *int { return &f.DuplicatedStreams })
	controller := http.NewResponseController(x.w)
	step := x.serviceTime / time.Duration(e.cfg.Events)
	for n := x.after + 1; n <= e.cfg.Events; n++ {
		if !wait(x, step) || (truncated && n > e.cfg.Events/2) {
			return false
		}
		line := fmt.Sprintf(`{"attempt":%q,"n":%d,"data":{"order":%q,"token":%d}}`+"\n", attempt, n, x.body.Input.Order, n)
		if duplicated {
			line += line
		}
		if _, err := io.WriteString(x.w, line); err != nil {
			return false
		}
		_ = controller.Flush()
	}
	e.applyEffect(x.body.Input.Order)
	return e.writeEnd(x, attempt, e.cfg.Events)
}

func (e *Engine) writeEnd(x *execution, attempt string, events int) bool {
	out := Output{Order: x.body.Input.Order, Stage: x.stage, PriorCount: len(x.body.Prior), Events: events}
	output, err := json.Marshal(out)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(x.w, `{"attempt":%q,"end":true,"n":%d,"output":%s}`+"\n", attempt, events, output)
	return err == nil
}
