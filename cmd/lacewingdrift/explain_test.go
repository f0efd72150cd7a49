package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	lines := `{"level":"info","time":"2026-12-04T09:00:10.000000Z","node":"a","msg":"gateway: target chosen","request":"r1","target":"t1"}
panic: not a line of the log
{"level":"warning","time":"2026-12-04T09:00:10.250000Z","node":"a","msg":"gateway: request","request":"r1","outcome":"failed","cause":"silent"}
`
	if err := os.WriteFile(file, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		args    []string
		out     []string
		problem string
	}{
		{"prints the way of a request", []string{"r1", file}, []string{"09:00:10.000", "gateway: target chosen target=t1", "cause=silent outcome=failed"}, ""},
		{"tells of lines that are none", []string{"r1", file}, []string{"1 lines are no log lines, the first is " + file + ":2"}, ""},
		{"says that an id is unknown", []string{"r2", file}, nil, "r2: no line in 1 files tells of this request"},
		{"names a file that is missing", []string{"r1", file + ".gone"}, nil, "a.log.gone"},
		{"wants a file", []string{"r1"}, nil, "requires at least 2 arg"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := root()
			cmd.SetArgs(append([]string{"explain"}, c.args...))
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			err := cmd.Execute()
			if (err != nil) != (c.problem != "") || (err != nil && !strings.Contains(err.Error(), c.problem)) {
				t.Errorf("got error %v, want %q", err, c.problem)
			}
			for _, want := range c.out {
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %q, want %q in it", out.String(), want)
				}
			}
		})
	}
}
