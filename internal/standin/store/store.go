package store

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
)

const (
	historyLength    = 4096
	bookmarkInterval = 500 * time.Millisecond
)

// Counts are the numbers of calls made so far.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	VMs     int64 `json:"vms"`
}

// Store keeps all objects in memory.
type Store struct {
	mu              sync.Mutex
	version         object.Version
	objects         map[string]map[string]object.Object
	history         []object.Event
	oldestVersion   object.Version
	watchers        map[chan struct{}]bool
	vms             vm.List
	counts          Counts
	faults          Faults
	watchGeneration uint64
	// kept is the copy that was asked for last over HTTP.
	kept atomic.Pointer[Copy]
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]map[string]object.Object{}, watchers: map[chan struct{}]bool{}}
}

// Counts returns the numbers of calls made so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns one object.
func (s *Store) Get(ctx context.Context, kind, name string) (object.Object, error) {
	if err := s.beginCall(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return object.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return s.inEra(o), nil
}

// inEra returns an object with its version in the current era; the lock is held.
func (s *Store) inEra(o object.Object) object.Object {
	o.Version = object.NewVersion(s.version.Era(), o.Version.Revision())
	return o
}

// List returns the objects of a kind whose names start with prefix.
func (s *Store) List(ctx context.Context, kind, prefix string) (object.List, error) {
	if err := s.beginCall(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return object.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := object.List{Version: s.version, Items: []object.Object{}}
	for name, o := range s.objects[kind] {
		if strings.HasPrefix(name, prefix) {
			l.Items = append(l.Items, s.inEra(o))
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Name < l.Items[j].Name })
	return l, nil
}

// Put writes value if the object still has the given version.
func (s *Store) Put(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	return s.write(ctx, kind, value, func(data []byte) (object.Object, error) { return s.put(kind, name, version, data) })
}

// PutStatus writes the status of an object if it still has the given version.
func (s *Store) PutStatus(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	return s.write(ctx, kind, value, func(data []byte) (object.Object, error) { return s.putStatus(kind, name, version, data) })
}

func (s *Store) write(ctx context.Context, kind string, value any, put func(data []byte) (object.Object, error)) (object.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, err
	}
	if err := s.beginCall(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return object.Object{}, err
	}
	o, err := put(data)
	if err == nil && s.consumeLostResponse(kind) {
		return object.Object{}, errResponseLost
	}
	return o, err
}

func (s *Store) putStatus(kind, name string, version object.Version, data []byte) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	if current.Version.Revision() != version.Revision() {
		return object.Object{}, &object.ConflictError{Current: s.inEra(current)}
	}
	s.version++
	current.Version, current.Status = s.version, data
	s.objects[kind][name] = current
	s.record(object.Event{Type: object.Put, Object: current})
	return current, nil
}

func (s *Store) put(kind, name string, version object.Version, data []byte) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	// Like the platform, the store compares revisions, and knows nothing of the era in which they were read.
	if ok && current.Version.Revision() != version.Revision() {
		return object.Object{}, &object.ConflictError{Current: s.inEra(current)}
	}
	if !ok && version != 0 {
		return object.Object{}, object.ErrNotFound
	}
	s.version++
	o := object.Object{Kind: kind, Name: name, Version: s.version, Value: data, Status: current.Status, Created: current.Created}
	if !ok {
		o.Created = s.version.Revision()
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object.Object{}
	}
	s.objects[kind][name] = o
	s.record(object.Event{Type: object.Put, Object: o})
	return o, nil
}

// Delete deletes the object if it still has the given version.
func (s *Store) Delete(ctx context.Context, kind, name string, version object.Version) error {
	if err := s.beginCall(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	if !ok {
		return object.ErrNotFound
	}
	if current.Version.Revision() != version.Revision() {
		return &object.ConflictError{Current: s.inEra(current)}
	}
	delete(s.objects[kind], name)
	s.version++
	current.Version = s.version
	current.Value, current.Status = nil, nil
	s.record(object.Event{Type: object.Delete, Object: current})
	return nil
}

func (s *Store) record(e object.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLength {
		s.history = append([]object.Event(nil), s.history[historyLength/2:]...)
		s.oldestVersion = s.history[0].Object.Version
	}
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Watch calls handle for each event after version until ctx is done or a fault ends the watch.
func (s *Store) Watch(ctx context.Context, kind string, version object.Version, handle func(object.Event)) error {
	if err := s.beginCall(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return err
	}
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.watchers[changed] = true
	generation := s.watchGeneration
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, changed)
		s.mu.Unlock()
	}()
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		events, latest, err := s.eventsAfter(kind, version, generation)
		if err != nil {
			return err
		}
		for _, e := range events {
			handle(e)
		}
		version = latest
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			handle(object.Event{Type: object.Bookmark, Object: object.Object{Kind: kind, Version: version}})
		}
	}
}

func (s *Store) eventsAfter(kind string, version object.Version, generation uint64) ([]object.Event, object.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.watchGeneration != generation {
		return nil, 0, errDown
	}
	if version.Revision() < s.oldestVersion.Revision() || version.Revision() > s.version.Revision() || s.faults.ExpireWatch {
		s.faults.ExpireWatch = false
		return nil, 0, object.ErrGone
	}
	var list []object.Event
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Version.Revision() > version.Revision() })
	for _, e := range s.history[i:] {
		if e.Object.Kind == kind {
			e.Object = s.inEra(e.Object)
			list = append(list, e)
		}
	}
	return list, s.version, nil
}

// VMs returns the list of VMs.
func (s *Store) VMs(ctx context.Context) (vm.List, error) {
	if err := s.beginCall(ctx, func(c *Counts) { c.VMs++ }); err != nil {
		return vm.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms, nil
}

// SetVM sets the state of one VM in the list.
func (s *Store) SetVM(name string, state vm.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []vm.VM
	for _, v := range s.vms.VMs {
		if v.Name != name {
			list = append(list, v)
		}
	}
	s.vms = vm.List{Revision: s.vms.Revision + 1, VMs: append(list, vm.VM{Name: name, State: state})}
}
