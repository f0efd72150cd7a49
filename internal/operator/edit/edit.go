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

// stored is the platform's form of an object, with the audit record of its last change.
type stored struct {
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Change  audit.Record    `json:"change"`
}

// Object is an object with its version and its last change.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value"`
	Change  audit.Record    `json:"change"`
}

// ConflictError reports that an edit was based on a stale version.
type ConflictError struct {
	Current Object
}

// Error names the object and the operator who changed it.
func (c *ConflictError) Error() string {
	return "edit " + c.Current.Kind + "/" + c.Current.Name + ": " + c.Current.Change.Operator + " changed it first"
}

// ValidationError reports that an edit would violate a rule.
type ValidationError struct {
	Violations validation.Violations
}

// Error lists the violations.
func (v *ValidationError) Error() string { return v.Violations.Error() }

// Editor changes objects.
type Editor struct {
	Store object.Store
	Trail audit.Trail
	Now   func() time.Time
	NewID func() string
}

// Edit is one change that an operator requests.
type Edit struct {
	Kind string
	Name string
	// Version is the version that the edit is based on, 0 for a new object.
	Version  object.Version
	Value    json.RawMessage
	Operator string
	Reason   string
}

// Get reads one object; the error is object.ErrNotFound if there is none.
func (e Editor) Get(ctx context.Context, kind, name string) (Object, error) {
	o, err := e.Store.Get(ctx, kind, name)
	if err != nil {
		return Object{}, err
	}
	current, s, err := unpack(o)
	if err == nil && s.Deleted {
		return Object{}, object.ErrNotFound
	}
	return current, err
}

// List reads the objects of a kind.
func (e Editor) List(ctx context.Context, kind string) ([]Object, error) {
	l, err := e.Store.List(ctx, kind, "")
	if err != nil {
		return nil, err
	}
	list := []Object{}
	for _, o := range l.Items {
		current, s, err := unpack(o)
		if err != nil {
			return nil, err
		}
		if !s.Deleted {
			list = append(list, current)
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

// LoadSet reads all objects into a set.
func (e Editor) LoadSet(ctx context.Context) (release.Set, error) {
	set := release.NewSet()
	var violations validation.Violations
	for _, kind := range release.Kinds {
		list, err := e.List(ctx, kind)
		if err != nil {
			return set, err
		}
		for _, o := range list {
			decoded, found := release.Decode(kind, o.Name, o.Value)
			violations = append(violations, found...)
			if decoded != nil {
				set.Add(decoded)
			}
		}
	}
	if len(violations) > 0 {
		return set, &ValidationError{Violations: violations}
	}
	return set, nil
}

// Put creates or replaces an object; it returns a *ValidationError for an invalid value, a *ConflictError for a stale
// version.
func (e Editor) Put(ctx context.Context, req Edit) (Object, error) {
	rec := e.newRecord(req, audit.Edit)
	value, err := decodeValue(req)
	if err != nil {
		return Object{}, e.recordRefused(ctx, rec, err)
	}
	rec.After = value
	return e.write(ctx, req, rec, stored{Value: value})
}

// decodeValue decodes a value and fills in its defaults; the error lists its violations.
func decodeValue(req Edit) (json.RawMessage, error) {
	decoded, violations := release.Decode(req.Kind, req.Name, req.Value)
	if decoded != nil {
		single := release.NewSet()
		single.Add(decoded)
		objects := single.Objects()
		if objects[0].Name != req.Name {
			violations = append(violations, validation.Violation{Kind: req.Kind, Name: req.Name, Field: "name", Text: "is " + objects[0].Name + " in the value"})
		}
		if len(violations) == 0 {
			return objects[0].Value, nil
		}
	}
	return nil, &ValidationError{Violations: violations}
}

// Delete removes an object that no other object uses; it returns a *ValidationError if one does, a *ConflictError for a
// stale version.
func (e Editor) Delete(ctx context.Context, req Edit) error {
	rec := e.newRecord(req, audit.Remove)
	if err := e.checkUnused(ctx, req); err != nil {
		return e.recordRefused(ctx, rec, err)
	}
	o, err := e.write(ctx, req, rec, stored{Deleted: true})
	if err != nil {
		return err
	}
	err = e.Store.Delete(ctx, req.Kind, req.Name, o.Version)
	if errors.Is(err, object.ErrNotFound) {
		return nil
	}
	return err
}

// checkUnused returns a *ValidationError if other objects still refer to the object.
func (e Editor) checkUnused(ctx context.Context, req Edit) error {
	set, err := e.LoadSet(ctx)
	if err != nil {
		return err
	}
	before := len(set.Validate())
	delete(set.Datacentres, nameForKind(req, "datacentre"))
	delete(set.Pools, nameForKind(req, "pool"))
	delete(set.Stages, nameForKind(req, "stage"))
	delete(set.Pipelines, nameForKind(req, "pipeline"))
	delete(set.Teams, nameForKind(req, "team"))
	if after := set.Validate(); len(after) > before {
		return &ValidationError{Violations: after}
	}
	return nil
}

func nameForKind(req Edit, kind string) string {
	if req.Kind == kind {
		return req.Name
	}
	return ""
}

func (e Editor) newRecord(req Edit, action audit.Action) audit.Record {
	return audit.Record{ID: e.NewID(), Operator: req.Operator, Time: e.Now().UTC(), Action: action, Object: req.Kind + "/" + req.Name, Reason: req.Reason}
}

// recordRefused records an action that was not carried out, and returns the reason.
func (e Editor) recordRefused(ctx context.Context, rec audit.Record, reason error) error {
	rec.Refused = reason.Error()
	if err := e.Trail.Write(ctx, rec); err != nil {
		return errors.Join(reason, err)
	}
	return reason
}

// write makes a conditional update; after a lost response it determines the result from the ID of the change.
func (e Editor) write(ctx context.Context, req Edit, rec audit.Record, s stored) (Object, error) {
	before, err := e.previousValue(ctx, req)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return Object{}, e.recordRefused(ctx, rec, err)
	}
	if err != nil {
		return Object{}, err
	}
	rec.Before = before
	s.Change = rec
	o, err := e.Store.Put(ctx, req.Kind, req.Name, req.Version, s)
	if err != nil {
		o, err = e.resolveWrite(ctx, req, rec, err)
	}
	if err != nil {
		return Object{}, err
	}
	if err := e.Trail.Write(ctx, rec); err != nil {
		return Object{}, merry.Prepend(err, "the change is made, and its audit record will follow")
	}
	current, _, err := unpack(o)
	return current, err
}

// previousValue returns the value that the edit replaces, after ensuring that the last change to it is recorded.
func (e Editor) previousValue(ctx context.Context, req Edit) (json.RawMessage, error) {
	o, err := e.Store.Get(ctx, req.Kind, req.Name)
	if errors.Is(err, object.ErrNotFound) {
		if req.Version != 0 {
			return nil, merry.Prependf(object.ErrNotFound, "edit %s/%s", req.Kind, req.Name)
		}
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	current, s, err := unpack(o)
	if err != nil {
		return nil, err
	}
	if err := e.Trail.Write(ctx, s.Change); err != nil {
		return nil, err
	}
	if current.Version != req.Version {
		return nil, &ConflictError{Current: current}
	}
	return s.Value, nil
}

// resolveWrite determines whether a write that returned err took effect.
func (e Editor) resolveWrite(ctx context.Context, req Edit, rec audit.Record, err error) (object.Object, error) {
	o, readErr := e.Store.Get(ctx, req.Kind, req.Name)
	if readErr != nil {
		return object.Object{}, merry.Prependf(err, "edit %s/%s: whether it took effect is not known", req.Kind, req.Name)
	}
	current, s, unpackErr := unpack(o)
	switch {
	case unpackErr != nil:
		return object.Object{}, unpackErr
	case s.Change.ID == rec.ID:
		return o, nil
	case current.Version != req.Version:
		return object.Object{}, e.recordRefused(ctx, rec, &ConflictError{Current: current})
	default:
		return object.Object{}, err
	}
}
