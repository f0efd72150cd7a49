package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer, as on the sheets.
const storeDelay = 4 * time.Millisecond

// metadata is the store's own part of an object.
type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is one entry of the store's history.
type change struct {
	revision uint64
	kind     string
	deleted  bool
	object   object
}

// store is a stand-in of the platform's metadata store. It loses nothing, and all its answers are linearizable.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	isDown   bool
}

// setDown lets the store answer 503 to all calls, or serve them again. Watches that are waiting are cut off.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuses answers a call while the store is down.
func (s *store) refuses(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.isDown
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// close ends the store.
func (s *store) close() { _ = s.server.Close() }

// put writes an object as the operator or an engine does, and returns its revision; 0 if the store is down.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0
	}
	return s.write(kind, name, data, nil).Metadata.Revision
}

// sortedNames returns the names of the objects of a kind; the lock is held.
func (s *store) sortedNames(kind string) []string {
	list := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// write replaces the spec, or the status, of an object; the lock is held.
func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	o, ok := s.objects[kind][name]
	s.revision++
	if !ok {
		o = object{Metadata: metadata{Name: name, Created: s.revision}}
	}
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(change{revision: s.revision, kind: kind, object: o})
	return o
}

// drop deletes an object; the lock is held.
func (s *store) drop(kind string, o object) {
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], o.Metadata.Name)
	s.record(change{revision: s.revision, kind: kind, deleted: true, object: o})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.refuses(w) {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, kind, name, len(parts) > 2)
	case r.Method == http.MethodDelete:
		s.deleteObject(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(data)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries := []object{}
	for _, name := range s.sortedNames(kind) {
		entries = append(entries, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"entries": entries, "truncated": false, "asOf": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// watch returns what has changed since a revision, as soon as something has.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.refuses(w) {
			return
		}
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.revision > from && c.kind == kind {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change carries out a POST or a PUT.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var body object
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	isNew := r.Method == http.MethodPost
	if isNew {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case !isNew && !ok:
		w.WriteHeader(http.StatusNotFound)
	case isNew && ok, !isNew && body.Metadata.Revision != 0 && body.Metadata.Revision != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
	case isStatus:
		answer(w, http.StatusOK, s.write(kind, name, nil, body.Status))
	default:
		answer(w, http.StatusOK, s.write(kind, name, body.Spec, nil))
	}
}

func (s *store) deleteObject(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	revision := r.URL.Query().Get("revision")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != "0" && revision != strconv.FormatUint(o.Metadata.Revision, 10):
		answer(w, http.StatusConflict, o)
	default:
		s.drop(kind, o)
		answer(w, http.StatusOK, o)
	}
}
