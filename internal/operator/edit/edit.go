package edit

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// stored is an object as it lies in the platform, with the change that made it so.
type stored struct {
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Change  audit.Record    `json:"change"`
}

// Object is an object with its version and its last change.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Change  audit.Record    `json:"change"`
}

// ConflictError says that an edit was based on a version that is not the last.
type ConflictError struct {
	Current Object
}

// Error names who was first.
func (r *ConflictError) Error() string {
	return "edit " + r.Current.Kind + "/" + r.Current.Name + ": " + r.Current.Change.Operator + " changed it first"
}

// ValidationError says that an edit would break a rule.
type ValidationError struct {
	Faults validation.Violations
}

// Error lists the broken rules.
func (r *ValidationError) Error() string { return r.Faults.Error() }

// Editor changes objects.
type Editor struct {
	Store object.Store
	Trail audit.Trail
	Now   func() time.Time
	NewID func() string
}

// Edit is one change that an operator asks for.
type Edit struct {
	Kind string
	Name string
	// Version is the version that the edit is based on, 0 for a new object.
	Version  uint64
	Value    json.RawMessage
	Operator string
	Reason   string
}

// Get reads one object; object.ErrMissing if there is none.
func (e Editor) Get(ctx context.Context, kind, name string) (Object, error) {
	o, err := e.Store.Get(ctx, kind, name)
	if err != nil {
		return Object{}, err
	}
	there, s, err := unpack(o)
	if err == nil && s.Deleted {
		return Object{}, object.ErrNotFound
	}
	return there, err
}

// List reads the objects of a kind.
func (e Editor) List(ctx context.Context, kind string) ([]Object, error) {
	l, err := e.Store.List(ctx, kind, "")
	if err != nil {
		return nil, err
	}
	list := []Object{}
	for _, o := range l.Items {
		there, s, err := unpack(o)
		if err != nil {
			return nil, err
		}
		if !s.Deleted {
			list = append(list, there)
		}
	}
	return list, nil
}

func unpack(o object.Object) (Object, stored, error) {
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return Object{}, s, merry.Prependf(err, "object %s/%s", o.Kind, o.Name)
	}
	return Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: s.Value, Change: s.Change}, s, nil
}

// LoadSet reads every object into a set.
func (e Editor) LoadSet(ctx context.Context) (release.Set, error) {
	set := release.NewSet()
	var faults validation.Violations
	for _, kind := range release.Kinds {
		list, err := e.List(ctx, kind)
		if err != nil {
			return set, err
		}
		for _, o := range list {
			decoded, f := release.Decode(kind, o.Name, o.Value)
			faults = append(faults, f...)
			if decoded != nil {
				set.Add(decoded)
			}
		}
	}
	if len(faults) > 0 {
		return set, &ValidationError{Faults: faults}
	}
	return set, nil
}

// Put creates or replaces an object: *Refusal for a bad value, *Race for a stale version.
func (e Editor) Put(ctx context.Context, w Edit) (Object, error) {
	c := e.change(w, audit.Edit)
	value, refusal := check(w)
	if refusal != nil {
		return Object{}, e.refused(ctx, c, refusal)
	}
	c.After = value
	return e.write(ctx, w, c, stored{Value: value})
}

// check decodes a value, fills its defaults in, and lists its faults.
func check(w Edit) (json.RawMessage, error) {
	decoded, faults := release.Decode(w.Kind, w.Name, w.Value)
	if decoded != nil {
		single := release.NewSet()
		single.Add(decoded)
		objects := single.Objects()
		if objects[0].Name != w.Name {
			faults = append(faults, validation.Violation{Kind: w.Kind, Name: w.Name, Field: "name", Text: "is " + objects[0].Name + " in the value"})
		}
		if len(faults) == 0 {
			return objects[0].Value, nil
		}
	}
	return nil, &ValidationError{Faults: faults}
}

// Delete removes an object that nothing uses: *Refusal if something does, *Race for a stale version.
func (e Editor) Delete(ctx context.Context, w Edit) error {
	c := e.change(w, audit.Remove)
	if err := e.unused(ctx, w); err != nil {
		return e.refused(ctx, c, err)
	}
	o, err := e.write(ctx, w, c, stored{Deleted: true})
	if err != nil {
		return err
	}
	err = e.Store.Delete(ctx, w.Kind, w.Name, o.Version)
	if errors.Is(err, object.ErrNotFound) {
		return nil
	}
	return err
}

// unused refuses if the set without the object would name it still.
func (e Editor) unused(ctx context.Context, w Edit) error {
	set, err := e.LoadSet(ctx)
	if err != nil {
		return err
	}
	before := len(set.Validate())
	delete(set.Datacentres, nameIf(w, "datacentre"))
	delete(set.Pools, nameIf(w, "pool"))
	delete(set.Stages, nameIf(w, "stage"))
	delete(set.Pipelines, nameIf(w, "pipeline"))
	delete(set.Teams, nameIf(w, "team"))
	if after := set.Validate(); len(after) > before {
		return &ValidationError{Faults: after}
	}
	return nil
}

func nameIf(w Edit, kind string) string {
	if w.Kind == kind {
		return w.Name
	}
	return ""
}

func (e Editor) change(w Edit, act audit.Action) audit.Record {
	return audit.Record{ID: e.NewID(), Operator: w.Operator, Time: e.Now().UTC(), Action: act, Object: w.Kind + "/" + w.Name, Reason: w.Reason}
}

// refused records an act that was not done, and gives why.
func (e Editor) refused(ctx context.Context, c audit.Record, why error) error {
	c.Refused = why.Error()
	if err := e.Trail.Write(ctx, c); err != nil {
		return errors.Join(why, err)
	}
	return why
}

// write makes a conditional update and settles a lost answer by the id of the change.
func (e Editor) write(ctx context.Context, w Edit, c audit.Record, s stored) (Object, error) {
	before, err := e.before(ctx, w)
	var race *ConflictError
	if errors.As(err, &race) {
		return Object{}, e.refused(ctx, c, err)
	}
	if err != nil {
		return Object{}, err
	}
	c.Before = before
	s.Change = c
	o, err := e.Store.Put(ctx, w.Kind, w.Name, w.Version, s)
	if err != nil {
		o, err = e.settle(ctx, w, c, err)
	}
	if err != nil {
		return Object{}, err
	}
	if err := e.Trail.Write(ctx, c); err != nil {
		return Object{}, merry.Prepend(err, "the change is made, and its audit record will follow")
	}
	there, _, err := unpack(o)
	return there, err
}

// before gives the value that the edit replaces, after making sure that the last change of it is recorded.
func (e Editor) before(ctx context.Context, w Edit) (json.RawMessage, error) {
	o, err := e.Store.Get(ctx, w.Kind, w.Name)
	if errors.Is(err, object.ErrNotFound) {
		if w.Version != 0 {
			return nil, merry.Prependf(object.ErrNotFound, "edit %s/%s", w.Kind, w.Name)
		}
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	there, s, err := unpack(o)
	if err != nil {
		return nil, err
	}
	if err := e.Trail.Write(ctx, s.Change); err != nil {
		return nil, err
	}
	if there.Version != w.Version {
		return nil, &ConflictError{Current: there}
	}
	return s.Value, nil
}

// settle finds out what became of a write that was answered with err.
func (e Editor) settle(ctx context.Context, w Edit, c audit.Record, err error) (object.Object, error) {
	o, readErr := e.Store.Get(ctx, w.Kind, w.Name)
	if readErr != nil {
		return object.Object{}, merry.Prependf(err, "edit %s/%s: whether it took effect is not known", w.Kind, w.Name)
	}
	there, s, unpackErr := unpack(o)
	switch {
	case unpackErr != nil:
		return object.Object{}, unpackErr
	case s.Change.ID == c.ID:
		return o, nil
	case there.Version != w.Version:
		return object.Object{}, e.refused(ctx, c, &ConflictError{Current: there})
	default:
		return object.Object{}, err
	}
}
