package store

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// TestStatusIsWrittenApart guards against a status that changes the value of its object, or is lost when the value changes, by each
// way to the store.
func TestStatusIsWrittenApart(t *testing.T) {
	for _, tt := range []struct {
		name    string
		connect func(t *testing.T, s *Store) object.Store
	}{
		{"in process", func(_ *testing.T, s *Store) object.Store { return s.Connect() }},
		{"over HTTP", func(t *testing.T, s *Store) object.Store {
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			return object.NewClient(object.ClientConfig{URL: server.URL, Timeout: 5 * time.Second, WatchIdleTimeout: 5 * time.Second})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.connect(t, New())
			if _, err := s.PutStatus(t.Context(), "rollouts", "svc", 1, 1); !errors.Is(err, object.ErrNotFound) {
				t.Errorf("no object: got error %v, want %v", err, object.ErrNotFound)
			}
			created, err := s.Put(t.Context(), "rollouts", "svc", 0, "v2")
			if err != nil {
				t.Fatal(err)
			}
			reported, err := s.PutStatus(t.Context(), "rollouts", "svc", created.Version, "running")
			if err != nil {
				t.Fatal(err)
			}
			var conflict *object.ConflictError
			if _, err := s.PutStatus(t.Context(), "rollouts", "svc", created.Version, "completed"); !errors.As(err, &conflict) || conflict.Current.Version != reported.Version {
				t.Errorf("got error %v, want a conflict with version %d", err, reported.Version)
			}
			if _, err := s.Put(t.Context(), "rollouts", "svc", reported.Version, "v3"); err != nil {
				t.Fatal(err)
			}
			got, err := s.Get(t.Context(), "rollouts", "svc")
			if err != nil || string(got.Value) != `"v3"` || string(got.Status) != `"running"` || got.Created == 0 || got.Created != created.Created {
				t.Errorf("got %+v (%v), want the new value, the status and creation %d", got, err, created.Created)
			}
			if err := s.Delete(t.Context(), "rollouts", "svc", got.Version); err != nil {
				t.Fatal(err)
			}
			again, err := s.Put(t.Context(), "rollouts", "svc", 0, "v3")
			if err != nil || again.Created == created.Created || again.Status != nil {
				t.Errorf("got %+v (%v), want another creation than %d and no status", again, err, created.Created)
			}
		})
	}
}
