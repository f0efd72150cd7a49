package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
)

const (
	// lookback is how long before a request's first line changes may explain its outcome: the time in which a change
	// must be in force.
	lookback = 3 * time.Second
	// maxLineBytes bounds the length of one line; a line names at most the requests of one batch call.
	maxLineBytes = 1 << 20
)

// ErrNotFound is returned for a request that no log line mentions.
var ErrNotFound = merry.Sentinel("no log line mentions this request")

// Source is one file of log lines.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Node    string
	Level   string
	Message string
	// Fields are the other fields of the line.
	Fields map[string]any
	// Related is set if the line is not about the request itself but about a change at a target or node that it used.
	Related bool
}

// Trace holds the log lines of one request.
type Trace struct {
	Request string
	Lines   []Line
	// Unreadable lists the lines that are not log lines, as FILE:NUMBER.
	Unreadable []string
}

// Read collects the lines about a request from the sources, in order of time.
func Read(request string, sources []Source) (Trace, error) {
	t := Trace{Request: request}
	err := t.forEachLine(sources, func(raw []byte, l Line) {
		if bytes.Contains(raw, []byte(request)) && l.mentions(request) {
			t.Lines = append(t.Lines, l)
		}
	})
	if err != nil {
		return t, err
	}
	if len(t.Lines) == 0 {
		return t, fmt.Errorf("%s: %w", request, ErrNotFound)
	}
	used := t.usage()
	t.Unreadable = nil
	err = t.forEachLine(sources, func(_ []byte, l Line) {
		if used.isRelated(l) {
			l.Related = true
			t.Lines = append(t.Lines, l)
		}
	})
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].Time.Before(t.Lines[j].Time) })
	return t, err
}

func (t *Trace) forEachLine(sources []Source, handle func(raw []byte, l Line)) error {
	for _, s := range sources {
		if err := t.readSource(s, handle); err != nil {
			return merry.Prependf(err, "read %s", s.Name)
		}
	}
	return nil
}

func (t *Trace) readSource(s Source, handle func(raw []byte, l Line)) error {
	r, err := s.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		l, err := parseLine(lines.Bytes())
		if err != nil {
			t.Unreadable = append(t.Unreadable, fmt.Sprintf("%s:%d", s.Name, n))
			continue
		}
		if l.Node == "" {
			l.Node = s.Name
		}
		handle(lines.Bytes(), l)
	}
	return lines.Err()
}

var errNotLogLine = errors.New("not a log line")

// parseLine parses one line; a prefix added by a log collector is skipped.
func parseLine(raw []byte) (Line, error) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return Line{}, errNotLogLine
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[i:], &fields); err != nil {
		return Line{}, err
	}
	text := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	l := Line{Level: text("level"), Message: text("msg"), Node: text("node"), Fields: fields}
	at, err := time.Parse(logging.TimeFormat, text("time"))
	if err != nil || l.Message == "" {
		return Line{}, errNotLogLine
	}
	l.Time = at
	return l, nil
}

// mentions reports whether a line names the request, alone or among those of one batch call.
func (l Line) mentions(request string) bool {
	if l.Fields["request"] == request {
		return true
	}
	list, _ := l.Fields["requests"].([]any)
	return slices.ContainsFunc(list, func(x any) bool {
		s, _ := x.(string)
		id, _, _ := strings.Cut(s, "/")
		return id == request
	})
}

// usage holds the targets and nodes that a request used, and when.
type usage struct {
	targets map[string]bool
	nodes   map[string]bool
	from    time.Time
	to      time.Time
}

func (t *Trace) usage() usage {
	u := usage{targets: map[string]bool{}, nodes: map[string]bool{}, from: t.Lines[0].Time, to: t.Lines[0].Time}
	for _, l := range t.Lines {
		u.nodes[l.Node] = true
		if id, ok := l.Fields["target"].(string); ok {
			u.targets[id] = true
		}
		if l.Time.Before(u.from) {
			u.from = l.Time
		}
		if l.Time.After(u.to) {
			u.to = l.Time
		}
	}
	u.from = u.from.Add(-lookback)
	return u
}

// isRelated reports whether a line is about a change that may explain the request's outcome.
func (u usage) isRelated(l Line) bool {
	if l.Time.Before(u.from) || l.Time.After(u.to) || !u.nodes[l.Node] {
		return false
	}
	part, _, _ := strings.Cut(l.Message, ":")
	switch part {
	case "fleet":
		id, ok := l.Fields["target"].(string)
		return !ok || u.targets[id]
	case "node", "configuration", "store", "relay", "journal":
		return true
	default:
		return false
	}
}
