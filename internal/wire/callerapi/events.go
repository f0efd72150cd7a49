package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/transport"
)

// eventWriter writes server-sent events, and comments at an interval so that a stalled connection is noticed.
type eventWriter struct {
	mu         sync.Mutex
	w          http.ResponseWriter
	controller *http.ResponseController
	keepalive  *time.Ticker
	done       chan struct{}
	wg         sync.WaitGroup
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	e := &eventWriter{w: w, controller: http.NewResponseController(w), keepalive: time.NewTicker(keepaliveInterval), done: make(chan struct{})}
	_ = e.controller.SetWriteDeadline(time.Time{})
	e.wg.Go(e.sendKeepalives)
	return e
}

func (e *eventWriter) sendKeepalives() {
	for {
		select {
		case <-e.done:
			return
		case <-e.keepalive.C:
			_ = e.write(": alive\n\n")
		}
	}
}

func (e *eventWriter) close() {
	close(e.done)
	e.keepalive.Stop()
	e.wg.Wait()
}

// cut ends the stream so that it does not look complete.
func (e *eventWriter) cut(r *http.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return transport.Cut(e.w, r)
}

func (e *eventWriter) write(text string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, err := fmt.Fprint(e.w, text); err != nil {
		return err
	}
	return e.controller.Flush()
}

func (e *eventWriter) send(name, id string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("callerapi: marshal event: " + err.Error())
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	_ = e.write(id + "event: " + name + "\ndata: " + string(data) + "\n\n")
}

func (e *eventWriter) sendPart(p request.Event) error {
	return e.write(fmt.Sprintf("id: %d\nevent: part\ndata: %s\n\n", p.Sequence, p.Data))
}
