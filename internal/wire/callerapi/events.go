package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
)

// events writes server-sent events, with a comment now and then so that a silent connection shows.
type events struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	flush *http.ResponseController
	alive *time.Ticker
	done  chan struct{}
	ended sync.WaitGroup
}

func newEvents(w http.ResponseWriter) *events {
	e := &events{w: w, flush: http.NewResponseController(w), alive: time.NewTicker(aliveEvery), done: make(chan struct{})}
	_ = e.flush.SetWriteDeadline(time.Time{})
	e.ended.Go(e.beat)
	return e
}

func (e *events) beat() {
	for {
		select {
		case <-e.done:
			return
		case <-e.alive.C:
			_ = e.write(": alive\n\n")
		}
	}
}

func (e *events) close() {
	close(e.done)
	e.alive.Stop()
	e.ended.Wait()
}

func (e *events) write(text string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, err := fmt.Fprint(e.w, text); err != nil {
		return err
	}
	return e.flush.Flush()
}

func (e *events) send(name, id string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("caller: event cannot be written: " + err.Error())
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	_ = e.write(id + "event: " + name + "\ndata: " + string(data) + "\n\n")
}

func (e *events) part(p request.Event) error {
	return e.write(fmt.Sprintf("id: %d\nevent: part\ndata: %s\n\n", p.Sequence, p.Data))
}
