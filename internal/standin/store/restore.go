package store

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
)

// Copy is the content of a store at one time.
type Copy struct {
	version       object.Version
	objects       map[string]map[string]object.Object
	history       []object.Event
	oldestVersion object.Version
}

// Era returns the number of times that the store has come back from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Era()
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{version: s.version, objects: map[string]map[string]object.Object{}, history: slices.Clone(s.history), oldestVersion: s.oldestVersion}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Objects returns the objects of a kind by name.
func (c Copy) Objects(kind string) map[string]object.Object { return c.objects[kind] }

// Without returns a copy that lacks the objects of a kind.
func (c Copy) Without(kind string) Copy {
	c.objects = maps.Clone(c.objects)
	delete(c.objects, kind)
	return c
}

// Restore replaces the store's content by a copy: what was written since is gone, and its revisions are given out again, in a
// new era. Open watches end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = object.NewVersion(s.version.Era()+1, c.version.Revision())
	s.objects = map[string]map[string]object.Object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.history, s.oldestVersion = slices.Clone(c.history), c.oldestVersion
	s.watchGeneration++
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Session is a client's use of the store within its process: like a client over HTTP, it knows the latest era that it has been
// told.
type Session struct {
	*Store
	eras object.Eras
}

// Connect returns a session.
func (s *Store) Connect() *Session { return &Session{Store: s} }

// Era returns the latest era that an answer has named.
func (c *Session) Era() uint64 { return c.eras.Latest() }

// RaiseEra records an era that is known otherwise.
func (c *Session) RaiseEra(era uint64) error { return c.eras.Raise(era) }

// Get returns one object.
func (c *Session) Get(ctx context.Context, kind, name string) (object.Object, error) {
	o, err := c.Store.Get(ctx, kind, name)
	if err != nil {
		return o, c.noteFailure(err)
	}
	return o, c.eras.Raise(o.Version.Era())
}

// noteFailure learns the era from an answer that an object does not exist.
func (c *Session) noteFailure(err error) error {
	if errors.Is(err, object.ErrNotFound) || errors.Is(err, object.ErrGone) {
		if eraErr := c.eras.Raise(c.Store.Era()); eraErr != nil {
			return eraErr
		}
	}
	return err
}

// List returns the objects of a kind whose names start with prefix.
func (c *Session) List(ctx context.Context, kind, prefix string) (object.List, error) {
	l, err := c.Store.List(ctx, kind, prefix)
	if err != nil {
		return l, err
	}
	return l, c.eras.Raise(l.Version.Era())
}

// Put writes value if the object still has the given version.
func (c *Session) Put(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	return c.write(ctx, kind, name, version, value, c.Store.Put)
}

// PutStatus writes the status of an object if it still has the given version.
func (c *Session) PutStatus(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	return c.write(ctx, kind, name, version, value, c.Store.PutStatus)
}

// putFunc is a conditional write of a part of an object.
type putFunc func(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error)

func (c *Session) write(ctx context.Context, kind, name string, version object.Version, value any, put putFunc) (object.Object, error) {
	if err := c.checkCondition(ctx, kind, name, version); err != nil {
		return object.Object{}, err
	}
	o, err := put(ctx, kind, name, version, value)
	var conflict *object.ConflictError
	answer := o.Version
	if errors.As(err, &conflict) {
		answer = conflict.Current.Version
	} else if err != nil {
		return o, c.noteFailure(err)
	}
	if eraErr := c.eras.Raise(answer.Era()); eraErr != nil {
		return object.Object{}, eraErr
	}
	if eraErr := object.CheckAnswer(version, answer.Era()); eraErr != nil {
		return object.Object{}, eraErr
	}
	return o, err
}

func (c *Session) checkCondition(ctx context.Context, kind, name string, version object.Version) error {
	return c.eras.CheckCondition(ctx, version, func(ctx context.Context) (object.Object, error) { return c.Get(ctx, kind, name) })
}

// Delete deletes the object if it still has the given version.
func (c *Session) Delete(ctx context.Context, kind, name string, version object.Version) error {
	if err := c.checkCondition(ctx, kind, name, version); err != nil {
		return err
	}
	err := c.Store.Delete(ctx, kind, name, version)
	if eraErr := c.eras.Raise(c.Store.Era()); eraErr != nil {
		return eraErr
	}
	if eraErr := object.CheckAnswer(version, c.eras.Latest()); eraErr != nil {
		return eraErr
	}
	return err
}

// Watch calls handle for each event after version until ctx is done, a fault ends the watch or a new era begins.
func (c *Session) Watch(ctx context.Context, kind string, version object.Version, handle func(object.Event)) error {
	if version.Era() != c.eras.Latest() {
		return object.ErrEraChanged
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := c.Store.Watch(ctx, kind, version, func(e object.Event) {
		if c.eras.Raise(e.Object.Version.Era()) != nil || e.Object.Version.Era() != version.Era() {
			cancel(object.ErrEraChanged)
			return
		}
		handle(e)
	})
	if cause := context.Cause(ctx); errors.Is(cause, object.ErrEraChanged) {
		return cause
	}
	return c.noteFailure(err)
}

// VMs returns the list of VMs, whose number rises over all eras.
func (c *Session) VMs(ctx context.Context) (vm.List, error) {
	l, err := c.Store.VMs(ctx)
	if err != nil {
		return l, err
	}
	era := c.Store.Era()
	l.Revision = uint64(object.NewVersion(era, l.Revision))
	return l, c.eras.Raise(era)
}
