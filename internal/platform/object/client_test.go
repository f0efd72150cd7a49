package object_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// TestDeepValueCostsOnlyItself covers a value that encoding/json reads alone, but not within a list or an event.
func TestDeepValueCostsOnlyItself(t *testing.T) {
	s := store.New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := object.NewClient(object.ClientConfig{URL: server.URL, Timeout: time.Second, WatchIdleTimeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	deep := json.RawMessage(strings.Repeat("[", 10000) + strings.Repeat("]", 10000))
	for name, value := range map[string]any{"deep": deep, "good": 1} {
		if _, err := s.Put(ctx, "k", name, 0, value); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := c.Get(ctx, "k", "deep"); err != nil || string(got.Value) != string(deep) {
		t.Errorf("get: got %d bytes and error %v, want %d", len(got.Value), err, len(deep))
	}
	list, err := c.List(ctx, "k", "")
	if got, want := len(list.Items), 2; err != nil || got != want {
		t.Errorf("list: got %d objects and error %v, want %d", got, err, want)
	}
	names := ""
	err = c.Watch(ctx, "k", 0, func(e object.Event) {
		if names += e.Object.Name; len(names) == len("deepgood") {
			cancel()
		}
	})
	if got, want := len(names), len("deepgood"); got != want {
		t.Errorf("watch: got events of %q and error %v, want deep and good", names, err)
	}
}
