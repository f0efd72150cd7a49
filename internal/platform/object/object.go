package object

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// Object is one object of the platform.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Status is what the system reports of the object, which is written apart from its value.
	Status json.RawMessage `json:"status,omitempty"`
	// Created is the revision at which the object was created, 0 if the platform does not tell; it differs for an object that was
	// removed and created again.
	Created uint64 `json:"created,omitempty"`
}

// List holds all objects of a kind at one version of the store.
type List struct {
	Version Version  `json:"version"`
	Items   []Object `json:"items"`
}

// EventType is the type of a watch event.
type EventType string

// The types of watch event.
const (
	Put      EventType = "put"
	Delete   EventType = "delete"
	Bookmark EventType = "bookmark"
)

// Event is one line of a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// The errors that callers distinguish; any other error means that the result is unknown.
var (
	ErrNotFound = merry.Sentinel("object is missing")
	ErrGone     = merry.Sentinel("version is too old to watch from")
)

// ConflictError reports that the object of a conditional update had another version.
type ConflictError struct {
	Current Object
}

// Error names the object.
func (c *ConflictError) Error() string {
	return "conflict: " + c.Current.Kind + "/" + c.Current.Name + " has another version"
}

// Store is the interface of the platform's object API.
type Store interface {
	// Get reads one object; the error is ErrNotFound if there is none.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads the objects of a kind whose names start with prefix.
	List(ctx context.Context, kind, prefix string) (List, error)
	// Put writes value if the object still has version, where 0 means that it must not exist; the error is a
	// *ConflictError otherwise.
	Put(ctx context.Context, kind, name string, version Version, value any) (Object, error)
	// PutStatus writes the status of an object if it still has version, and leaves its value as it is; the error is a *ConflictError
	// if it has another version, ErrNotFound if there is no object.
	PutStatus(ctx context.Context, kind, name string, version Version, value any) (Object, error)
	// Delete removes the object if it still has version; the error is a *ConflictError otherwise.
	Delete(ctx context.Context, kind, name string, version Version) error
	// Watch calls handle for each event after version until it fails; the error is ErrGone if version is too old.
	Watch(ctx context.Context, kind string, version Version, handle func(Event)) error
}
