package trace

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func source(name string, lines ...string) Source {
	return Source{Name: name, Open: func() (io.ReadCloser, error) {
		return io.NopCloser(strings.NewReader(strings.Join(lines, "\n"))), nil
	}}
}

func line(at, fields string) string {
	return `{"level":"info","time":"2026-12-04T09:00:` + at + `Z",` + fields + `}`
}

// TestReadFollowsRequestAcrossNodes covers a request that was refused because the target of its dispatcher was gone.
func TestReadFollowsRequestAcrossNodes(t *testing.T) {
	coordinator := source("a.log",
		line("10.000000", `"msg":"gateway: request","node":"a","request":"other","outcome":"answered"`),
		line("10.900000", `"msg":"gateway: request","node":"a","request":"r1","outcome":"refused","cause":"piece"`),
		"panic: something else",
	)
	dispatcher := source("b.log",
		line("09.500000", `"msg":"fleet: target is gone","node":"b","target":"t9"`),
		"12.5s b | "+line("10.200000", `"msg":"desk: stage call begun","node":"b","target":"t1","requests":["r0/0","r1/0"]`),
		line("10.800000", `"msg":"fleet: target is gone","node":"b","target":"t1"`),
		line("10.850000", `"msg":"desk: stage call failed","node":"b","target":"t1","requests":["r0/0","r1/0"]`),
		line("01.000000", `"msg":"store: does not answer","node":"b"`),
		line("10.100000", `"msg":"store: does not answer","node":"c"`),
	)
	got, err := Read("r1", []Source{coordinator, dispatcher})
	if err != nil {
		t.Fatal(err)
	}
	var messages []string
	for _, l := range got.Lines {
		messages = append(messages, l.Node+" "+l.Message)
	}
	want := []string{"b desk: stage call begun", "b fleet: target is gone", "b desk: stage call failed", "a gateway: request"}
	if strings.Join(messages, "\n") != strings.Join(want, "\n") {
		t.Errorf("got lines\n%s\nwant\n%s", strings.Join(messages, "\n"), strings.Join(want, "\n"))
	}
	if len(got.Unreadable) != 1 || got.Unreadable[0] != "a.log:3" {
		t.Errorf("got unreadable lines %q, want a.log:3", got.Unreadable)
	}
	if !got.Lines[1].Related || got.Lines[0].Related {
		t.Error("a change of a used target must be told apart from the request's own lines")
	}
}

func TestReadReportsUnknownRequest(t *testing.T) {
	_, err := Read("r7", []Source{source("a.log", line("10.000000", `"msg":"gateway: request","request":"r77"`))})
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want %v", err, ErrNotFound)
	}
}

func TestReadNamesUnreadableFile(t *testing.T) {
	unreadable := Source{Name: "gone.log", Open: func() (io.ReadCloser, error) { return nil, errors.New("no such file") }}
	if _, err := Read("r", []Source{unreadable}); err == nil || !strings.Contains(err.Error(), "gone.log") {
		t.Errorf("got %v, want the name of the file", err)
	}
}

func TestReadUsesFileNameForMissingNode(t *testing.T) {
	got, err := Read("r", []Source{source("x.log", line("10.000000", `"msg":"gateway: request","request":"r"`))})
	if err != nil || got.Lines[0].Node != "x.log" {
		t.Errorf("got %+v (%v), want node x.log", got.Lines, err)
	}
}
