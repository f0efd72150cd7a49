package edit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

func newEditor(s *store.Store) Editor {
	n := 0
	return Editor{
		Store: s,
		Trail: audit.Trail{Store: s, Keep: 5, PruneSlack: 2},
		Now:   func() time.Time { return time.Date(2026, 1, 2, 3, 4, n, 0, time.UTC) },
		NewID: func() string { n++; return fmt.Sprintf("id%04d", n) },
	}
}

func teamEdit(version object.Version, weight int) Edit {
	return Edit{Kind: "team", Name: "keepers", Version: version, Value: json.RawMessage(fmt.Sprintf(`{"name":"keepers","weight":%d}`, weight)), Operator: "rosa"}
}

func auditRecords(t *testing.T, e Editor) []audit.Record {
	t.Helper()
	list, err := e.Trail.List(context.Background(), audit.Filter{})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestPutRejectsStaleVersion(t *testing.T) {
	e := newEditor(store.New())
	ctx := t.Context()
	first, err := e.Put(ctx, teamEdit(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Put(ctx, teamEdit(first.Version, 2)); err != nil {
		t.Fatal(err)
	}
	_, err = e.Put(ctx, teamEdit(first.Version, 3))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if !strings.Contains(string(conflict.Current.Value), `"weight":2`) || conflict.Current.Change.Operator != "rosa" {
		t.Errorf("got %s by %s, want the current value and its operator", conflict.Current.Value, conflict.Current.Change.Operator)
	}
	if got := auditRecords(t, e); len(got) != 3 || got[2].Refused == "" {
		t.Errorf("got %d records, want two edits and the refused one", len(got))
	}
}

func TestPutResolvesLostResponse(t *testing.T) {
	s := store.New()
	e := newEditor(s)
	s.SetFaults(store.Faults{LostResponses: 1, LostKind: "team"})
	o, err := e.Put(t.Context(), teamEdit(0, 1))
	if err != nil || o.Version == 0 {
		t.Errorf("got %v, want the edit to be found in effect", err)
	}
	if got := auditRecords(t, e); len(got) != 1 || got[0].Refused != "" {
		t.Errorf("got %d records, want one", len(got))
	}
}

// TestPutWritesMissingRecordOfLastChange covers a platform that fails between a change and its record: the next action
// must write the record.
func TestPutWritesMissingRecordOfLastChange(t *testing.T) {
	s := store.New()
	e := newEditor(s)
	failing := e
	failing.Trail.Store = failingStore{s}
	o, err := failing.Put(t.Context(), teamEdit(0, 1))
	if err == nil {
		t.Fatal("got no error, want one saying that the record will follow")
	}
	if got := auditRecords(t, e); len(got) != 0 {
		t.Fatalf("got %d records, want none yet", len(got))
	}
	current, err := e.Get(t.Context(), "team", "keepers")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Put(t.Context(), teamEdit(current.Version, 2)); err != nil {
		t.Fatal(err, o)
	}
	got := auditRecords(t, e)
	if len(got) != 2 || !strings.Contains(string(got[0].After), `"weight":1`) || !strings.Contains(string(got[1].Before), `"weight":1`) {
		t.Errorf("got %v, want both edits in order", got)
	}
}

type failingStore struct{ *store.Store }

func (f failingStore) Put(context.Context, string, string, object.Version, any) (o object.Object, err error) {
	return o, errors.New("platform is down")
}

func TestDeleteRejectsUsedObject(t *testing.T) {
	e := newEditor(store.New())
	ctx := t.Context()
	put := func(kind, name, value string) object.Version {
		t.Helper()
		o, err := e.Put(ctx, Edit{Kind: kind, Name: name, Value: json.RawMessage(value), Operator: "rosa"})
		if err != nil {
			t.Fatal(err)
		}
		return o.Version
	}
	put("datacentre", "maipo", `{"name":"maipo"}`)
	v := put("pool", "letters", `{"name":"letters","target":[{"name":"l-1","address":"127.0.0.1:1","datacentre":"maipo"}]}`)
	put("stage", "write", `{"name":"write","pool":"letters"}`)
	w := put("team", "keepers", `{"name":"keepers"}`)
	err := e.Delete(ctx, Edit{Kind: "pool", Name: "letters", Version: v, Operator: "rosa"})
	if err == nil || !strings.Contains(err.Error(), `stage "write": pool: pool "letters" does not exist`) {
		t.Errorf("got %v, want an error that names the stage and its field", err)
	}
	if err := e.Delete(ctx, Edit{Kind: "team", Name: "keepers", Version: w, Operator: "rosa"}); err != nil {
		t.Errorf("got %v, want the unused team removed", err)
	}
	if list, _ := e.List(ctx, "team"); len(list) != 0 {
		t.Errorf("got %d teams, want 0", len(list))
	}
}

func TestPutRejectsInvalidValues(t *testing.T) {
	tests := []struct{ kind, name, value, want string }{
		{"team", "keepers", `{"name":"keepers","wheight":1}`, `unknown field "wheight"`},
		{"team", "keepers", `{"name":"other"}`, `team "keepers": name: is other in the value`},
		{"team", "keepers", `{"name":"keepers","weight":5000}`, `team "keepers": weight: must be 1 to 1000, not 5000`},
		{"pool", "p", `{"name":"p"}`, `pool "p": target: a pool needs at least one`},
		{"planet", "p", `{}`, `planet "p": kind: is not known`},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			e := newEditor(store.New())
			_, err := e.Put(t.Context(), Edit{Kind: tt.kind, Name: tt.name, Value: json.RawMessage(tt.value), Operator: "rosa"})
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
			if got := auditRecords(t, e); len(got) != 1 || got[0].Refused == "" {
				t.Errorf("got %d records, want the refused edit", len(got))
			}
		})
	}
}

func TestTrimKeepsLatestRecords(t *testing.T) {
	e := newEditor(store.New())
	version := object.Version(0)
	for i := range 12 {
		o, err := e.Put(t.Context(), teamEdit(version, i+1))
		if err != nil {
			t.Fatal(err)
		}
		version = o.Version
	}
	if err := e.Trail.Trim(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := auditRecords(t, e)
	if len(got) != 5 || !strings.Contains(string(got[4].After), `"weight":12`) {
		t.Errorf("got %d records, want the latest 5", len(got))
	}
}
