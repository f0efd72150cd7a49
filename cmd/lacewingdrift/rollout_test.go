package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
	"github.com/lacewingdrift/lacewingdrift/platform"
)

// rolloutStore is the store of the tests of the rollout commands; its revisions begin with 1 for the configuration.
type rolloutStore struct {
	object.Store
	t *testing.T
	// loseAnswers makes writes of orders take effect without an answer; keepDown makes the store fail from then on.
	loseAnswers, keepDown bool
	isDown                bool
	// beforeDelete, if set, is called once before an order is removed.
	beforeDelete func()
}

var errNoAnswer = errors.New("no answer")

func newRolloutStore(t *testing.T) *rolloutStore {
	s := &rolloutStore{Store: store.New().Connect(), t: t}
	s.put(platform.KindConfig, platform.ConfigName, `{"version":1,"services":[{"name":"svc"},{"name":"other"}]}`)
	return s
}

func (s *rolloutStore) put(kind, name, value string) object.Object {
	s.t.Helper()
	current, err := s.Store.Get(s.t.Context(), kind, name)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		s.t.Fatal(err)
	}
	o, err := s.Store.Put(s.t.Context(), kind, name, current.Version, json.RawMessage(value))
	if err != nil {
		s.t.Fatal(err)
	}
	return o
}

// order writes an order of svc and, unless the state is "", its status.
func (s *rolloutStore) order(version string, status rollout.Status) {
	s.t.Helper()
	o := s.put(platform.KindRollouts, "svc", `{"service":"svc","target":"`+version+`","durationS":30}`)
	if status.State == "" {
		return
	}
	if _, err := s.PutStatus(s.t.Context(), platform.KindRollouts, "svc", o.Version, platform.RolloutStatus(status)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *rolloutStore) answer(kind string, err error) error {
	if err != nil || kind != platform.KindRollouts || !s.loseAnswers {
		return err
	}
	s.isDown = s.keepDown
	return errNoAnswer
}

func (s *rolloutStore) Get(ctx context.Context, kind, name string) (object.Object, error) {
	if s.isDown {
		return object.Object{}, errNoAnswer
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *rolloutStore) Put(ctx context.Context, kind, name string, version object.Version, value any) (object.Object, error) {
	o, err := s.Store.Put(ctx, kind, name, version, value)
	return o, s.answer(kind, err)
}

func (s *rolloutStore) Delete(ctx context.Context, kind, name string, version object.Version) error {
	if before := s.beforeDelete; before != nil {
		s.beforeDelete = nil
		before()
	}
	return s.answer(kind, s.Store.Delete(ctx, kind, name, version))
}

// run runs the command with some arguments on the store.
func (s *rolloutStore) run(args ...string) (out, log string, err error) {
	var stdout, stderr bytes.Buffer
	c := rolloutCommand(func(string) object.Store { return s })
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SetArgs(append(args, "--store", "127.0.0.1:7000"))
	c.SetOut(&stdout)
	c.SetErr(&stderr)
	err = c.ExecuteContext(s.t.Context())
	return stdout.String(), stderr.String(), err
}

// checkError reports an error other than the wanted one, "" for none.
func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if (err != nil) != (want != "") || (err != nil && !strings.Contains(err.Error(), want)) {
		t.Errorf("got error %v, want %q", err, want)
	}
}

// TestStartAndAbortRollout guards against a second order beside a running one, against an order that nodes cannot read, and against
// a change without its audit line.
func TestStartAndAbortRollout(t *testing.T) {
	running, rolledBack := rollout.Status{Version: "v2", State: rollout.Running}, rollout.Status{Version: "v2", State: rollout.RolledBack}
	completed := rollout.Status{Version: "v2", State: rollout.Completed}
	start := []string{"start", "svc", "v3", "--for", "1.5s", "--who", "rosa", "--reason", "new"}
	abort := []string{"abort", "svc", "--who", "rosa", "--reason", "new"}
	const present, wanted = `{"service":"svc","target":"v2","durationS":30}`, `{"service":"svc","target":"v3","durationS":1.5}`
	for _, tt := range []struct {
		name  string
		setUp func(*rolloutStore)
		args  []string
		// wantSpec is the order in the store afterwards, "" for none.
		wantSpec, wantErr string
		// wantNew is set if the object must be another one than before.
		wantNew bool
	}{
		{"first order", nil, start, wanted, "", true},
		{"order beside one that no node has seen", func(s *rolloutStore) { s.order("v2", rollout.Status{}) }, start, present, `rollout "svc": status.state: a rollout to v2 is running`, false},
		{"order beside a running one", func(s *rolloutStore) { s.order("v2", running) }, start, present, "a rollout to v2 is running", false},
		{"order beside one with the state of another", func(s *rolloutStore) { s.order("v2", rollout.Status{Version: "v1", State: rollout.Completed}) }, start, present, "a rollout to v2 is running", false},
		{"order after a completed one", func(s *rolloutStore) { s.order("v2", completed) }, start, wanted, "", false},
		{"order after one that was rolled back", func(s *rolloutStore) { s.order("v2", rolledBack) }, start, wanted, "", false},
		{"same version after it was rolled back", func(s *rolloutStore) { s.order("v3", rollout.Status{Version: "v3", State: rollout.RolledBack}) }, start, wanted, "", true},
		{"same version after it was completed", func(s *rolloutStore) { s.order("v2", completed) }, []string{"start", "svc", "v2", "--for", "1s"}, present, `rollout "svc": target: v2 is the version`, false},
		{"order beside one that cannot be read", func(s *rolloutStore) { s.put(platform.KindRollouts, "svc", `{"target":1}`) }, start, `{"target":1}`, "abort it first", false},
		{"unknown service", nil, []string{"start", "svd", "v2", "--for", "1s"}, "", `rollout "svd": service: is not in the configuration`, false},
		{"no service", nil, []string{"start", "", "v2", "--for", "1s"}, "", "service: is missing", false},
		{"no version", nil, []string{"start", "svc", "", "--for", "1s"}, "", `rollout "svc": target: is missing`, false},
		{"no time", nil, []string{"start", "svc", "v2", "--for", "0s"}, "", `rollout "svc": durationS: must be above 0`, false},
		{"lost answer", func(s *rolloutStore) { s.loseAnswers = true }, start, wanted, "", true},
		{"lost answer, then nothing", func(s *rolloutStore) { s.loseAnswers, s.keepDown = true, true }, start, wanted, "whether it took effect is not known", true},
		{"store is down", func(s *rolloutStore) { s.isDown = true }, start, "", "no answer", false},
		{"another operator between removal and order", func(s *rolloutStore) {
			s.order("v3", rollout.Status{Version: "v3", State: rollout.RolledBack})
			s.beforeDelete = func() { s.put(platform.KindRollouts, "svc", present) }
		}, start, present, "metadata.revision: another operator has changed the order", false},
		{"abort of a running rollout", func(s *rolloutStore) { s.order("v2", running) }, abort, "", "", false},
		{"abort of an order that cannot be read", func(s *rolloutStore) { s.put(platform.KindRollouts, "svc", `{"target":1}`) }, abort, "", "", false},
		{"abort while a node writes a state", func(s *rolloutStore) {
			s.order("v2", rollout.Status{})
			s.beforeDelete = func() { s.order("v2", running) }
		}, abort, "", "", false},
		{"abort while a node completes it", func(s *rolloutStore) {
			s.order("v2", running)
			s.beforeDelete = func() { s.order("v2", completed) }
		}, abort, present, `rollout "svc": status.state: is completed already`, false},
		{"abort of a completed rollout", func(s *rolloutStore) { s.order("v2", completed) }, abort, present, "is completed already", false},
		{"abort without an order", nil, abort, "", `rollout "svc": name: there is no order`, false},
		{"abort without a name", nil, []string{"abort", ""}, "", "name: is missing", false},
		{"abort with a lost answer", func(s *rolloutStore) {
			s.order("v2", running)
			s.loseAnswers = true
		}, abort, "", "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRolloutStore(t)
			if tt.setUp != nil {
				tt.setUp(s)
			}
			before, _ := s.Store.Get(t.Context(), platform.KindRollouts, "svc")
			out, log, err := s.run(tt.args...)
			checkError(t, err, tt.wantErr)
			if tt.wantErr == "" && !strings.Contains(out, "rollout of svc") {
				t.Errorf("got output %q, want a line about the rollout of svc", out)
			}
			after, _ := s.Store.Get(t.Context(), platform.KindRollouts, "svc")
			if got := string(after.Value); got != tt.wantSpec {
				t.Errorf("got order %q, want %q", got, tt.wantSpec)
			}
			if isNew := after.Created != before.Created && after.Created != 0; isNew != tt.wantNew {
				t.Errorf("got creation %d after %d, want another object: %t", after.Created, before.Created, tt.wantNew)
			}
			var line struct {
				Message string `json:"msg"`
				Who, Act, Object, Reason,
				Before, After, Refused, Error string
			}
			if err := json.Unmarshal([]byte(log), &line); err != nil || strings.Count(log, "\n") != 1 {
				t.Fatalf("got %q (%v), want one audit line", log, err)
			}
			isUnknown := errors.Is(err, errOutcomeUnknown)
			if line.Message != "audit: "+tt.args[0]+"-rollout" || (line.Refused != "") != (err != nil && !isUnknown) || (line.Error != "") != isUnknown || !strings.HasPrefix(line.Object, "rollouts/") {
				t.Errorf("got audit line %s after error %v", log, err)
			}
			if err == nil && tt.args[len(tt.args)-1] == "new" && (line.Who != "rosa" || line.Reason != "new" || line.After != tt.wantSpec) {
				t.Errorf("got audit line %s, want rosa, her reason and the order %s", log, tt.wantSpec)
			}
		})
	}
}

// TestRolloutStatus guards against a state of an earlier order that is shown as that of the present one.
func TestRolloutStatus(t *testing.T) {
	s := newRolloutStore(t)
	if out, _, err := s.run("status"); err != nil || strings.Count(out, "\n") != 1 {
		t.Errorf("got %q (%v) without orders, want the head of the table", out, err)
	}
	for id, version := range map[string]string{"i-1": "v1", "i-2": "v2", "i-3": "v2"} {
		s.put(platform.KindTargets, id, `{"service":"svc","address":"127.0.0.1:80","zone":"a","state":"ready","version":"`+version+`"}`)
	}
	s.put(platform.KindTargets, "i-4", `{"service":"svc","address":"127.0.0.1:80","zone":"a","state":"draining","version":"v1"}`)
	s.put(platform.KindTargets, "odd", `7`)
	s.put(platform.KindRollouts, "other", `{"service":"other"}`)
	s.order("v2", rollout.Status{Version: "v2", State: rollout.Running, Began: time.Unix(1700000000, 0)})
	for _, tt := range []struct {
		name    string
		args    []string
		setUp   func()
		want    []string
		wantErr string
	}{
		{"all", []string{"status"}, nil, []string{"SERVICE", "svc", "v2", "running", "30s", "2023-11-14 22:13:20Z", "2023-11-14 22:13:50Z", "unreadable", `rollout "other": target: is missing`}, ""},
		{"one", []string{"status", "svc"}, nil, []string{"svc      v2       running  30s  2023-11-14 22:13:20Z  2023-11-14 22:13:50Z  2    1\n"}, ""},
		{"state of the order before", []string{"status", "svc"}, func() { s.order("v3", rollout.Status{}) }, []string{"svc      v3       ordered  30s  -      -         0    3\n"}, ""},
		{"no order", []string{"status", "svd"}, nil, nil, `rollout "svd": name: there is no order`},
		{"two services", []string{"status", "svc", "other"}, nil, nil, "accepts at most 1 arg"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.setUp != nil {
				tt.setUp()
			}
			out, _, err := s.run(tt.args...)
			checkError(t, err, tt.wantErr)
			for _, want := range tt.want {
				if !strings.Contains(out, want) {
					t.Errorf("got %q, want %q in it", out, want)
				}
			}
		})
	}
}

// TestRolloutNeedsStore guards against a command that acts on no store, or on another one than it was told.
func TestRolloutNeedsStore(t *testing.T) {
	for _, tt := range []struct {
		name, settings string
		args           []string
		wantErr        string
	}{
		{"no store", "", nil, "--store: is missing, and LACEWINGDRIFT_NODE_FILE is not set"},
		{"missing settings", "/missing/file", nil, "/missing/file"},
		{"no address", "", []string{"--store", "store"}, `--store: must be IP:PORT, not "store"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv(platform.SettingsVariable, tt.settings)
			for _, args := range [][]string{{"status"}, {"abort", "svc"}, {"start", "svc", "v2", "--for", "1s"}} {
				c := rolloutCommand(func(address string) object.Store {
					t.Errorf("the store at %s was opened", address)
					return nil
				})
				c.SilenceUsage, c.SilenceErrors = true, true
				c.SetArgs(append(args, tt.args...))
				checkError(t, c.Execute(), tt.wantErr)
			}
		})
	}
}
