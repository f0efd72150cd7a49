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
	for _, tt := range []struct {
		name    string
		args    []string
		wantOut []string
		wantErr string
	}{
		{"path of a request", []string{"r1", file}, []string{"09:00:10.000", "gateway: target chosen target=t1", "cause=silent outcome=failed"}, ""},
		{"lines that are not log lines", []string{"r1", file}, []string{"1 lines are not log lines; the first is " + file + ":2"}, ""},
		{"unknown request", []string{"r2", file}, nil, "r2: no line in 1 files is about this request"},
		{"missing file", []string{"r1", file + ".gone"}, nil, "a.log.gone"},
		{"no file argument", []string{"r1"}, nil, "requires at least 2 arg"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := root()
			cmd.SetArgs(append([]string{"explain"}, tt.args...))
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			err := cmd.Execute()
			if (err != nil) != (tt.wantErr != "") || (err != nil && !strings.Contains(err.Error(), tt.wantErr)) {
				t.Errorf("got error %v, want %q", err, tt.wantErr)
			}
			for _, want := range tt.wantOut {
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %q, want %q in it", out.String(), want)
				}
			}
		})
	}
}
