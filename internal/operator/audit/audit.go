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
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// Kind is the platform's object kind of an audit record.
const Kind = "audit"

// Action is the kind of change that an operator makes.
type Action string

// The actions.
const (
	Edit     Action = "edit"
	Remove   Action = "remove"
	Publish  Action = "publish"
	Rollback Action = "rollback"
	// StartRollout and AbortRollout are changes of orders on the users' platform.
	StartRollout Action = "start-rollout"
	AbortRollout Action = "abort-rollout"
)

// Record is one action of an operator. It is written inside the object that it changes, in the same write, and then
// copied into a record of its own, so that every change has its record.
type Record struct {
	ID       string    `json:"id"`
	Operator string    `json:"who"`
	Time     time.Time `json:"when"`
	Action   Action    `json:"act"`
	Object   string    `json:"object"`
	Reason   string    `json:"reason,omitempty"`
	// Forced is set if a check was overridden.
	Forced bool            `json:"forced,omitempty"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
	// Refused is the reason why the action was not carried out.
	Refused string `json:"refused,omitempty"`
}

// Log writes the record as a line of a log, for a change of an object that cannot hold it.
func (r Record) Log(log logrus.FieldLogger) {
	fields := logrus.Fields{"who": r.Operator, "when": r.Time.UTC().Format(time.RFC3339Nano), "act": r.Action, "object": r.Object}
	for name, value := range map[string]string{"reason": r.Reason, "before": string(r.Before), "after": string(r.After), "refused": r.Refused} {
		if value != "" {
			fields[name] = value
		}
	}
	log.WithFields(fields).Info("audit: " + string(r.Action))
}

func (r Record) name() string { return fmt.Sprintf("%013d-%s", r.Time.UnixMilli(), r.ID) }

// Trail reads and writes audit records.
type Trail struct {
	Store object.Store
	// Keep is the number of records that Trim keeps, PruneSlack how many more may accumulate before it deletes any.
	Keep       int
	PruneSlack int
}

// Write records a change; a change that is already recorded stays as it is.
func (t Trail) Write(ctx context.Context, r Record) error {
	if r.ID == "" {
		return nil
	}
	_, err := t.Store.Put(ctx, Kind, r.name(), 0, r)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return merry.Prepend(err, "write audit record")
}

// Filter selects records; an empty field matches all.
type Filter struct {
	Since    time.Time
	Object   string
	Operator string
}

func (f Filter) matches(r Record) bool {
	return !r.Time.Before(f.Since) && strings.Contains(r.Object, f.Object) && (f.Operator == "" || r.Operator == f.Operator)
}

// List returns the records that match a filter, ordered by time.
func (t Trail) List(ctx context.Context, f Filter) ([]Record, error) {
	l, err := t.Store.List(ctx, Kind, "")
	if err != nil {
		return nil, merry.Prepend(err, "read audit trail")
	}
	list := []Record{}
	for _, o := range l.Items {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return nil, merry.Prependf(err, "audit record %s", o.Name)
		}
		if f.matches(r) {
			list = append(list, r)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list, nil
}

// Trim deletes the oldest records beyond Keep once there are more than Keep plus PruneSlack.
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
