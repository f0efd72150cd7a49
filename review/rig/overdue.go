package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() { cases["overdue"] = overdueCase }

const (
	// stageCall is how long a stage call takes by the configuration, and slowCall how long it takes at the engine that has become slow.
	stageCall = 1500 * time.Millisecond
	slowCall  = 4 * stageCall
)

// serveStage makes the pieces of a stage call.
func (e *engine) serveStage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Entries []struct {
			ID string `json:"id"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var results []map[string]string
	for i, x := range body.Entries {
		e.journal.addArrival(arrival{at: time.Now(), id: x.ID, engine: e.id, service: e.service, ran: true})
		results = append(results, map[string]string{"handle": fmt.Sprintf("%s/%x%04x", e.address, time.Now().UnixNano(), i)})
	}
	e.mu.Lock()
	work := e.work
	e.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("X-Backend-Load", "0,0,1")
	answer(w, http.StatusOK, map[string]any{"entries": results})
}

// stageEngines is the number of engines of the stage.
const stageEngines = 6

// overdueCase lets an engine of a stage leave while a call runs at another one, which with trouble has become slow. It checks that the engine
// that has left gets no piece later.
func overdueCase(r *rig) error {
	for i := range 3 {
		r.addNode(r.zones[i%3], 1000, smallBounds)
	}
	stage := service("portal", 360)
	stage["segments"] = map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": stageCall.Milliseconds(), "itemMs": 21, "headroomMb": 18, "handleTtlS": 8, "linkMbps": 10000}
	phases := []map[string]any{{"service": "portal", "after": []int{}, "byteCount": 8000}}
	r.configure(1, []map[string]any{route("estado", "safe", "caja", 2, 15000, map[string]any{"goalMs": 8000, "phases": phases})}, []map[string]any{service("caja", 96), stage})
	if _, err := r.addEngine("caja", r.zones[0], 6, 24, 20*time.Millisecond); err != nil {
		return err
	}
	var stages []*engine
	for i := range stageEngines {
		e, err := r.addEngine("portal", r.zones[i%3], 1, 2, stageCall)
		if err != nil {
			return err
		}
		stages = append(stages, e)
	}
	if err := r.startNodes(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	r.clients.deadline = 15 * time.Second
	// Equal engines are taken in the order of their ids.
	slices.SortFunc(stages, func(a, b *engine) int { return strings.Compare(a.id, b.id) })
	first, leaving := stages[0], stages[1]
	send := func() {
		r.clients.send(r.nodes[0], "GET", "app.example", "/estado/2f", "", http.Header{"X-Segments": {"4"}, "X-Segment-Key": {"7c1e07a291bd"}})
	}
	// The first call goes to the engine that answers a question for its space first.
	send()
	time.Sleep(3 * time.Second)
	if r.withTrouble {
		first.setWork(slowCall)
		r.note("calls at %s take %s", first.id, slowCall)
	}
	r.clients.running.Go(send)
	time.Sleep(100 * time.Millisecond)
	leaving.report("draining")
	acknowledged := time.Now()
	r.note("%s reports draining; the store has accepted it", leaving.id)
	r.clients.running.Wait()
	return checkLatePieces(r, leaving, acknowledged)
}

// setWork sets how long the engine works on a call.
func (e *engine) setWork(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = d
}

// checkLatePieces checks that an engine got no pieces later than drainMs after its leaving was acknowledged.
func checkLatePieces(r *rig, leaving *engine, acknowledged time.Time) error {
	j := r.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	late := 0
	for _, a := range j.arrivals {
		verdict := ""
		if after := a.at.Sub(acknowledged); a.engine == leaving.id && after > smallBounds.drain() {
			late++
			verdict = fmt.Sprintf(": LATE, %.3f s after the acknowledgement", after.Seconds())
		}
		fmt.Fprintf(r.record, "%8.3f  %s reaches %s of %s%s\n", r.at(a.at), a.id, a.engine, a.service, verdict)
	}
	for _, x := range j.requests {
		fmt.Fprintf(r.record, "%8.3f  %s sent to %s, ended with %d after %.3f s %s\n", r.at(x.at), x.id, x.via, x.status, x.took.Seconds(), x.err)
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d pieces reach an engine later than %s after its leaving was acknowledged", errBroken, late, smallBounds.drain())
	}
	return nil
}
