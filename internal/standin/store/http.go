package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
)

const maxBodyBytes = 1 << 20

// Handler returns the handler of the object API, the faults and the counts.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	writeResult := s.writeResult
	m.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	m.HandleFunc("PUT /v1/objects/{kind}/{name}", s.updateBy(s.Put))
	m.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.updateBy(s.PutStatus))
	m.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	m.HandleFunc("GET /v1/objects/{kind}", s.list)
	m.HandleFunc("GET /v1/watch/{kind}", s.watch)
	m.HandleFunc("GET /v1/vms", s.listVMs)
	m.HandleFunc("PUT /standin/vms/{name}", s.setVM)
	m.HandleFunc("PUT /standin/faults", s.putFaults)
	m.HandleFunc("PUT /standin/copy", func(w http.ResponseWriter, _ *http.Request) {
		c := s.Copy()
		s.kept.Store(&c)
		writeResult(w, nil, nil)
	})
	m.HandleFunc("PUT /standin/restore", s.restoreKept)
	m.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeResult(w, s.Counts(), nil) })
	return m
}

// restoreKept brings the store back from the copy that was kept last.
func (s *Store) restoreKept(w http.ResponseWriter, _ *http.Request) {
	c := s.kept.Load()
	if c == nil {
		http.Error(w, "no copy was made", http.StatusConflict)
		return
	}
	s.Restore(*c)
	s.writeResult(w, nil, nil)
}

// setEra names the era. It is called after the operation, so that no answer names an earlier era than that in which it was made.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(object.HeaderEra, strconv.FormatUint(s.Era(), 10))
}

func (s *Store) writeResult(w http.ResponseWriter, value any, err error) {
	s.setEra(w)
	var conflict *object.ConflictError
	code := http.StatusOK
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		code, value = http.StatusConflict, conflict.Current
	case errors.Is(err, object.ErrNotFound):
		code, value = http.StatusNotFound, nil
	case errors.Is(err, object.ErrGone):
		code, value = http.StatusGone, nil
	default:
		code, value = http.StatusServiceUnavailable, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

func versionParam(r *http.Request, key string) object.Version {
	n, _ := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	return object.Version(n)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	s.writeResult(w, o, err)
}

// updateBy returns the handler of a conditional write.
func (s *Store) updateBy(put putFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		o, err := put(r.Context(), r.PathValue("kind"), r.PathValue("name"), versionParam(r, "version"), json.RawMessage(body))
		if errors.Is(err, errResponseLost) {
			// The caller sees its connection close without a response.
			panic(http.ErrAbortHandler)
		}
		s.writeResult(w, o, err)
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	err := s.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), versionParam(r, "version"))
	s.writeResult(w, object.Object{}, err)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	l, err := s.List(r.Context(), r.PathValue("kind"), r.URL.Query().Get("prefix"))
	s.writeResult(w, l, err)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	enc := json.NewEncoder(w)
	started := false
	err := s.Watch(r.Context(), r.PathValue("kind"), versionParam(r, "from"), func(e object.Event) {
		if !started {
			s.setEra(w)
		}
		started = true
		_ = enc.Encode(e)
		_ = http.NewResponseController(w).Flush()
	})
	if !started {
		s.writeResult(w, nil, err)
	}
}

func (s *Store) listVMs(w http.ResponseWriter, r *http.Request) {
	l, err := s.VMs(r.Context())
	s.writeResult(w, l, err)
}

func (s *Store) setVM(w http.ResponseWriter, r *http.Request) {
	s.SetVM(r.PathValue("name"), vm.State(r.URL.Query().Get("state")))
	s.writeResult(w, nil, nil)
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	s.writeResult(w, nil, nil)
}
