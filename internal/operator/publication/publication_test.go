package publication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// restoringStore comes back from a copy before one of its calls.
type restoringStore struct {
	*store.Session
	copied   store.Copy
	restored bool
	// before is the number of the call before which the store comes back, callCount the number of calls so far.
	before    int
	callCount int
}

func (s *restoringStore) count() {
	s.callCount++
	if s.callCount == s.before {
		s.Restore(s.copied)
		s.restored = true
	}
}

func (s *restoringStore) Get(ctx context.Context, kind, name string) (object.Object, error) {
	s.count()
	return s.Session.Get(ctx, kind, name)
}

func (s *restoringStore) List(ctx context.Context, kind, prefix string) (object.List, error) {
	s.count()
	return s.Session.List(ctx, kind, prefix)
}

func (s *restoringStore) Put(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	s.count()
	return s.Session.Put(ctx, kind, name, version, value)
}

func newPublisher(s object.Store, highest *uint64) Publisher {
	ids := 0
	editor := edit.Editor{Store: s, Trail: audit.Trail{Store: s}, Now: time.Now, NewID: func() string {
		ids++
		return fmt.Sprint("id-", ids, "-", time.Now().UnixNano())
	}}
	return Publisher{Editor: editor, HighestNumber: func() uint64 { return *highest }}
}

func putTeam(t *testing.T, p Publisher, weight int) {
	t.Helper()
	current, err := p.Editor.Get(t.Context(), "team", "keepers")
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		t.Fatal(err)
	}
	value := json.RawMessage(fmt.Sprintf(`{"name":"keepers","weight":%d}`, weight))
	if _, err := p.Editor.Put(t.Context(), edit.Edit{Kind: "team", Name: "keepers", Version: current.Version, Value: value, Operator: "rosa"}); err != nil {
		t.Fatal(err)
	}
}

// TestPublicationDuringRestoreLeavesWholeRelease lets the store come back from an older copy before each call of a publication: what
// the head names afterwards can be loaded, and the next publication takes a higher number.
func TestPublicationDuringRestoreLeavesWholeRelease(t *testing.T) {
	const maxCalls = 60
	for before := 1; before <= maxCalls; before++ {
		base := store.New()
		highest := uint64(0)
		first := newPublisher(base.Connect(), &highest)
		putTeam(t, first, 1)
		if _, err := first.Publish(t.Context(), Options{Operator: "rosa"}); err != nil {
			t.Fatal(err)
		}
		copied := base.Copy()
		putTeam(t, first, 2)
		second, err := first.Publish(t.Context(), Options{Operator: "rosa"})
		if err != nil {
			t.Fatal(err)
		}
		highest = second.Number
		putTeam(t, first, 3)
		s := &restoringStore{Session: base.Connect(), copied: copied, before: before}
		third, err := newPublisher(s, &highest).Publish(t.Context(), Options{Operator: "rosa"})
		if err == nil {
			highest = third.Number
		}
		reader := newPublisher(base.Connect(), &highest)
		head, _, readErr := reader.CurrentHead(t.Context())
		if readErr != nil {
			t.Fatalf("restore before call %d: %v", before, readErr)
		}
		if _, loadErr := reader.LoadRelease(t.Context(), head.Head); loadErr != nil {
			t.Errorf("restore before call %d, publication %v: release %d cannot be loaded: %v", before, err, head.Number, loadErr)
		}
		if err == nil && head.Number != third.Number {
			t.Errorf("restore before call %d: got head %d, want the published %d", before, head.Number, third.Number)
		}
		next, err := reader.Publish(t.Context(), Options{Operator: "rosa"})
		if err != nil || next.Number <= second.Number {
			t.Errorf("restore before call %d: got release %d (%v) next, want one above %d", before, next.Number, err, second.Number)
		}
		if !s.restored {
			if before < 5 {
				t.Errorf("got only %d calls in a publication", s.callCount)
			}
			return
		}
	}
}
