package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// Kind is the platform's object kind of an audit record.
const Kind = "audit"

// Action says what was done.
type Action string

// The acts.
const (
	Edit     Action = "edit"
	Remove   Action = "remove"
	Publish  Action = "publish"
	Rollback Action = "rollback"
)

// Record is one act of an operator. It is written inside the object that it changes, in the same
// write, and copied into a record of its own after; so no change is without its record.
type Record struct {
	ID       string    `json:"id"`
	Operator string    `json:"who"`
	Time     time.Time `json:"when"`
	Action   Action    `json:"act"`
	Object   string    `json:"object"`
	Reason   string    `json:"reason,omitempty"`
	// Forced tells that a check was overridden.
	Forced bool            `json:"forced,omitempty"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
	// Refused says why the act was not done.
	Refused string `json:"refused,omitempty"`
}

func (c Record) name() string { return fmt.Sprintf("%013d-%s", c.Time.UnixMilli(), c.ID) }

// Trail reads and writes records.
type Trail struct {
	Store object.Store
	// Keep is how many records are kept, and Prune how many more may gather before old ones go.
	Keep       int
	PruneSlack int
}

// Write records a change; one that is recorded already is left as it is.
func (t Trail) Write(ctx context.Context, c Record) error {
	if c.ID == "" {
		return nil
	}
	_, err := t.Store.Put(ctx, Kind, c.name(), 0, c)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return merry.Prepend(err, "write audit record")
}

// Filter picks records; empty fields pick all.
type Filter struct {
	Since    time.Time
	Object   string
	Operator string
}

func (f Filter) picks(c Record) bool {
	return !c.Time.Before(f.Since) && strings.Contains(c.Object, f.Object) && (f.Operator == "" || c.Operator == f.Operator)
}

// List gives the records that a filter picks, by time.
func (t Trail) List(ctx context.Context, f Filter) ([]Record, error) {
	l, err := t.Store.List(ctx, Kind, "")
	if err != nil {
		return nil, merry.Prepend(err, "read audit trail")
	}
	list := []Record{}
	for _, o := range l.Items {
		var c Record
		if err := json.Unmarshal(o.Value, &c); err != nil {
			return nil, merry.Prependf(err, "audit record %s", o.Name)
		}
		if f.picks(c) {
			list = append(list, c)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list, nil
}

// Trim deletes the oldest records beyond what is kept.
func (t Trail) Trim(ctx context.Context) error {
	l, err := t.Store.List(ctx, Kind, "")
	if err != nil || len(l.Items) <= t.Keep+t.PruneSlack {
		return err
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Name < l.Items[j].Name })
	for _, o := range l.Items[:len(l.Items)-t.Keep] {
		if err := t.Store.Delete(ctx, Kind, o.Name, o.Version); err != nil && !errors.Is(err, object.ErrNotFound) {
			return merry.Prepend(err, "trim audit trail")
		}
	}
	return nil
}
