package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is one version of an object of the platform's store.
type storedObject struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
	isDeleted  bool
}

func (o storedObject) wire() string {
	name, _ := json.Marshal(o.name)
	return fmt.Sprintf(`{"metadata":{"name":%s,"revision":%d},"spec":%s}`, name, o.revision, o.spec)
}

// store is the stand-in of the platform's store: linearizable, with its whole history.
type store struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]storedObject
	history  []storedObject
	// changed is closed and replaced with each change, cut with each cut of the waiting watches.
	changed, cut chan struct{}
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, revision: 500, objects: map[string]storedObject{}, changed: make(chan struct{}), cut: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// write adds a change; the caller holds mu.
func (s *store) write(o storedObject) storedObject {
	s.revision++
	o.revision = s.revision
	if o.isDeleted {
		delete(s.objects, o.kind+"/"+o.name)
	} else {
		s.objects[o.kind+"/"+o.name] = o
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storedObject{kind: kind, name: name, spec: data})
	return nil
}

// remove removes an object and returns when the store has accepted that. With cutsWatches, the watches that are waiting at that
// moment are cut off.
func (s *store) remove(kind, name string, cutsWatches bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cutsWatches {
		s.cutWaiting()
	}
	s.write(storedObject{kind: kind, name: name, spec: s.objects[kind+"/"+name].spec, isDeleted: true})
	return time.Now()
}

// cutWatches cuts off the watches that are waiting.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWaiting()
}

func (s *store) cutWaiting() {
	close(s.cut)
	s.cut = make(chan struct{})
}

// ServeHTTP serves the calls that nodes make.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	status, answer := s.call(r, kind, name, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

func (s *store) call(r *http.Request, kind, name string, body []byte) (status int, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && name == "" {
		return http.StatusOK, s.list(kind)
	}
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, "{}"
		}
	}
	revision := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	current, isThere := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && isThere, r.Method != http.MethodPost && isThere && r.Method != http.MethodGet && revision != 0 && revision != current.revision:
		return http.StatusConflict, current.wire()
	case r.Method != http.MethodPost && !isThere:
		return http.StatusNotFound, "{}"
	case r.Method == http.MethodGet:
		return http.StatusOK, current.wire()
	case r.Method == http.MethodDelete:
		s.write(storedObject{kind: kind, name: name, spec: current.spec, isDeleted: true})
		return http.StatusOK, "{}"
	default:
		return http.StatusOK, s.write(storedObject{kind: kind, name: name, spec: sent.Spec}).wire()
	}
}

func (s *store) list(kind string) string {
	var entries []string
	for _, o := range s.objects {
		if o.kind == kind {
			entries = append(entries, o.wire())
		}
	}
	return fmt.Sprintf(`{"entries":[%s],"truncated":false,"asOf":%d}`, strings.Join(entries, ","), s.revision)
}

// watch answers with the changes of a kind as soon as there are any, or with none after the wait. The header of the answer is sent at
// once; a watch that is cut off ends without the rest.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	expiry := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer expiry.Stop()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	for isExpired := false; ; {
		s.mu.Lock()
		var events []string
		for _, o := range s.history {
			if o.kind == kind && o.revision > from {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, o.wire(), o.isDeleted))
			}
		}
		changed, asOf, isCut := s.changed, s.revision, s.cut != cut
		s.mu.Unlock()
		if isCut {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || isExpired {
			_, _ = fmt.Fprintf(w, `{"events":[%s],"asOf":%d}`, strings.Join(events, ","), asOf)
			return
		}
		select {
		case <-cut:
		case <-changed:
		case <-expiry.C:
			isExpired = true
		case <-r.Context().Done():
			return
		}
	}
}
