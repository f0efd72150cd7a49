package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineServer stands in for the processes of an engine. The last part of a path names how long the answer takes from its first part on, in
// milliseconds; a part before it that begins with w names how long that takes.
type engineServer struct {
	id, address string
	// unframed makes answers end with their connection, uneven makes the IDs of events rise by more than one in the end.
	unframed, uneven bool
	lines            sync.Mutex
}

// eventCount is the number of events of a stream, rowCount that of the rows of another answer.
const (
	eventCount = 20
	rowCount   = 40
)

// runEngine serves until it fails, and returns why.
func runEngine(args []string) error {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	e := &engineServer{}
	flags.StringVar(&e.address, "address", "", "IP:PORT")
	flags.StringVar(&e.id, "id", "", "ID of the engine")
	flags.BoolVar(&e.unframed, "unframed", false, "answers have no length")
	flags.BoolVar(&e.uneven, "uneven", false, "events hold several tokens after the first ones")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.say("listens")
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go e.serve(c)
	}
}

// say reports what happens to the drill.
func (e *engineServer) say(format string, args ...any) {
	e.lines.Lock()
	defer e.lines.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (e *engineServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if isStage := strings.HasPrefix(r.URL.Path, "/stage-") || r.URL.Path == "/report"; isStage && !e.answerStage(c, r, body) || !isStage && !e.answer(c, r) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (e *engineServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nX-Instance-Id: %s\r\n", id, e.id, id, e.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, id)
		return err == nil
	}
	if r.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		return err == nil
	}
	parts := strings.Split(r.URL.Path, "/")
	ms, _ := strconv.Atoi(parts[len(parts)-1])
	took := time.Duration(ms) * time.Millisecond
	for _, part := range parts {
		if n, err := strconv.Atoi(strings.TrimPrefix(part, "w")); err == nil && strings.HasPrefix(part, "w") {
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
	}
	e.say("run %s %s", id, r.Header.Get("X-Tenant"))
	var pieces []string
	kind := "application/json"
	if isStream(r.URL.Path) {
		pieces, kind = events(id, e.uneven, r.Header.Get("Last-Event-Id")), "text/event-stream"
	} else {
		pieces = rows(id)
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if e.unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\n%s\r\n", head, kind, framing); err != nil {
		return false
	}
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(took / time.Duration(len(pieces)))
		}
		if !e.unframed {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if _, err := io.WriteString(c, p); err != nil {
			e.say("dropped %s", id)
			return false
		}
	}
	e.say("end %s", id)
	if e.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// isStream reports whether a path is that of a stream.
func isStream(path string) bool {
	return slices.ContainsFunc([]string{"/letter/", "/draft/", "/chat/"}, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// The time of a stage call, and of each piece in it.
const (
	callTime  = 200 * time.Millisecond
	pieceTime = 21 * time.Millisecond
)

// answerStage answers a call of an engine of a stage, and reports whether the connection stays open.
func (e *engineServer) answerStage(c net.Conn, r *http.Request, body []byte) bool {
	text := "{}"
	switch r.URL.Path {
	case "/report":
		text = `{"queued":0,"busy":0,"freeMb":18.0}`
	case "/stage-run":
		var call struct {
			Entries []struct {
				ID      string `json:"id"`
				Segment int    `json:"segment"`
			} `json:"entries"`
		}
		if err := json.Unmarshal(body, &call); err != nil {
			return false
		}
		time.Sleep(callTime + time.Duration(len(call.Entries))*pieceTime)
		var list []string
		for _, x := range call.Entries {
			list = append(list, fmt.Sprintf(`{"handle":"%s/%s%02x"}`, e.address, x.ID, x.Segment))
			e.say("made %s %d", x.ID, x.Segment)
		}
		text = `{"entries":[` + strings.Join(list, ",") + `]}`
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Backend-Load: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// rows returns an answer that is not a stream, in the parts in which it is sent.
func rows(id string) []string {
	list := []string{`{"request":"` + id + `","rows":[` + "\n"}
	for i := range rowCount {
		comma := ","
		if i == rowCount-1 {
			comma = ""
		}
		list = append(list, fmt.Sprintf("{\"row\":%d,\"paid\":true}%s\n", i+1, comma))
	}
	return append(list, "]}\n")
}

// events returns a stream. The IDs of events count the tokens that were generated; with uneven, events hold one token at first and
// more of them later.
func events(id string, uneven bool, after string) []string {
	last, _ := strconv.Atoi(after)
	var list []string
	tokens := 0
	for i := range eventCount {
		step := 1
		if uneven && i >= 3 {
			step = 1 + i%3
		}
		tokens += step
		if tokens > last {
			list = append(list, fmt.Sprintf("id: %d\ndata: {\"request\":\"%s\",\"tokens\":%d,\"last\":%t}\n\n", tokens, id, step, i == eventCount-1))
		}
	}
	return list
}

// engine is an engine that the drill started.
type engine struct {
	*process
	id    string
	entry serverEntry
	// isListed is cleared when its entry is no longer renewed.
	isListed atomic.Bool
	args     []string
}

// startEngine starts an engine, which enters itself in the store as ready.
func (d *drill) startEngine(i int, id, service string, flags ...string) (*engine, error) {
	address := fmt.Sprintf("%s%d:%s", d.prefix, 100+i, enginePort)
	x := &engine{id: id, entry: serverEntry{Service: service, Address: address, Zone: zones[i%len(zones)], Version: "v1", Slots: 64, State: "ready"}}
	x.args = append([]string{"engine", "-address", address, "-id", id}, flags...)
	d.mu.Lock()
	d.engines[id] = x
	d.mu.Unlock()
	if err := d.launch(x); err != nil {
		return nil, err
	}
	x.isListed.Store(true)
	go d.beat(x)
	return x, nil
}

// launch starts the process of an engine and waits until it listens.
func (d *drill) launch(x *engine) error {
	listens := make(chan struct{})
	p, err := d.start(x.id, nil, func(line string) {
		if line == "listens" {
			close(listens)
			return
		}
		if what, rest, _ := strings.Cut(line, " "); what == "run" {
			request, tenant, _ := strings.Cut(rest, " ")
			d.mu.Lock()
			d.tenants[request] = append(d.tenants[request], tenant)
			d.mu.Unlock()
		}
		d.note("engine %s: %s", x.id, line)
	}, append([]string{drillBinary}, x.args...)...)
	if err != nil {
		return err
	}
	x.process, x.entry.Born = p, time.Now().UnixMilli()
	select {
	case <-listens:
	case <-p.ended:
		return errors.New("engine ended at its start")
	case <-time.After(startTimeout):
		return errors.New("engine does not listen")
	}
	x.entry.Sequence = 1
	d.store.put("servers", x.id, x.entry)
	d.note("engine %s is ready: %s", x.id, describe(x.entry))
	return nil
}

// drillBinary is where review/build-2.sh puts this program.
const drillBinary = "target/drill"

// beat renews the entry of an engine while it runs.
func (d *drill) beat(x *engine) {
	for {
		select {
		case <-x.ended:
			return
		case <-time.After(heartbeat):
		}
		d.mu.Lock()
		if x.isListed.Load() {
			x.entry.Sequence++
			d.store.put("servers", x.id, x.entry)
		}
		d.mu.Unlock()
	}
}

// drain lets an engine report that it is draining.
func (d *drill) drain(x *engine) {
	d.mu.Lock()
	x.entry.State = "draining"
	x.entry.Sequence++
	d.store.put("servers", x.id, x.entry)
	d.mu.Unlock()
	d.note("engine %s reports draining, and the store has accepted it", x.id)
}

// unlist removes the entry of an engine that leaves without a report.
func (d *drill) unlist(x *engine) {
	d.mu.Lock()
	x.isListed.Store(false)
	d.store.remove("servers", x.id)
	d.mu.Unlock()
	d.note("the entry of engine %s is removed from the store", x.id)
}

// kill ends the process of an engine; the kernel closes its connections.
func (d *drill) kill(x *engine) {
	d.note("engine %s ends", x.id)
	x.signal(syscall.SIGKILL)
	<-x.ended
}
