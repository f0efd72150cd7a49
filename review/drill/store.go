package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxEntries is the number of entries of one page of a list.
const maxEntries = 500

// object is one version of an object of the store.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
	status     json.RawMessage
	deleted    bool
}

func (o object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	}
}

// store stands in for the platform's store. It keeps all of its history.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []object
	changed  chan struct{}
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, revision: 1, objects: map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object as its owner does, without a condition.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	o.kind, o.name, o.spec = kind, name, data
	s.write(o)
}

// remove deletes an object as its owner does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind+"/"+name]; ok {
		s.delete(o)
	}
}

// write stores the next version of an object; the lock is held.
func (s *store) write(o object) object {
	s.revision++
	o.revision = s.revision
	if o.created == 0 {
		o.created = s.revision
	}
	s.objects[o.kind+"/"+o.name] = o
	s.record(o)
	return o
}

func (s *store) delete(o object) {
	s.revision++
	o.revision, o.deleted = s.revision, true
	delete(s.objects, o.kind+"/"+o.name)
	s.record(o)
}

func (s *store) record(o object) {
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name, part := parts[0], "", ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		part = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name, part)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o.wire())
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var list []object
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			list = append(list, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	entries := []any{}
	for _, o := range list[:min(len(list), maxEntries)] {
		entries = append(entries, o.wire())
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "truncated": len(list) > maxEntries, "asOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	expiry := time.After(time.Duration(wait) * time.Millisecond)
	for isExpired := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, o := range s.history {
			if o.kind == kind && o.revision > from {
				events = append(events, map[string]any{"object": o.wire(), "deleted": o.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isExpired {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-expiry:
			isExpired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var body struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	condition := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			condition = &n
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && ok, ok && condition != nil && *condition != o.revision:
		answer(w, http.StatusConflict, o.wire())
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(o)
		w.WriteHeader(http.StatusOK)
	case r.Method != http.MethodPost && r.Method != http.MethodPut:
		w.WriteHeader(http.StatusMethodNotAllowed)
	default:
		o.kind, o.name = kind, name
		if part == "status" {
			o.status = body.Status
		} else {
			o.spec = body.Spec
		}
		answer(w, http.StatusOK, s.write(o).wire())
	}
}

// serverEntry is what an engine writes of itself.
type serverEntry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"coldLeftMs"`
	Sequence   int64  `json:"sequence"`
	Born       int64  `json:"born"`
}

// route is a route of the configuration.
type route map[string]any

// newRoute returns a route on the test host.
func newRoute(prefix, kind, service string, timeout time.Duration, more route) route {
	r := route{
		"name": "r-" + strings.Trim(prefix, "/"), "host": testHost, "pathPrefix": prefix, "type": kind, "service": service, "timeoutMs": timeout.Milliseconds(),
		"goalMs": 2300, "priority": 1, "attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

const (
	testHost = "pule25.example"
	testKey  = "9dnn2ctnfzs989anu6ws"
	tenant   = "bozi300"
	// stagePrefix begins the names of services whose engines run stages.
	stagePrefix = "portal"
)

// putConfig writes a version of the configuration.
func (s *store) putConfig(version int, services []string, routes ...route) {
	var list []any
	for _, name := range services {
		x := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
		if strings.HasPrefix(name, stagePrefix) {
			x["segments"] = map[string]any{
				"slots": 1, "queue": 2, "batch": 8, "callMs": callTime.Milliseconds(), "itemMs": pieceTime.Milliseconds(), "headroomMb": 18.0, "handleTtlS": 4.0,
				"linkMbps": 10000,
			}
		}
		list = append(list, x)
	}
	s.put("config", "main", map[string]any{
		"version": version, "routeList": routes, "services": list,
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{testKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// describe returns an address in short, for the record.
func describe(e serverEntry) string { return fmt.Sprintf("%s at %s", e.Service, e.Address) }
