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
	// before is how long before a request's first line changes are looked for that may explain its end: the time in
	// which a change must be in force.
	before = 3 * time.Second
	// maxLine bounds one line, in bytes; a line names the requests of one call at most.
	maxLine = 1 << 20
)

// ErrNotFound is the error of a request of which no line tells.
var ErrNotFound = merry.Sentinel("no line tells of this request")

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
	// Related tells that the line is not about the request but about something that it used.
	Related bool
}

// Trace is what logs tell of one request.
type Trace struct {
	Request string
	Lines   []Line
	// Unreadable names the lines that are no log lines, as FILE:NUMBER.
	Unreadable []string
}

// Read puts together what the sources tell of a request, in the order of time.
func Read(request string, sources []Source) (Trace, error) {
	t := Trace{Request: request}
	err := t.each(sources, func(raw []byte, l Line) {
		if bytes.Contains(raw, []byte(request)) && l.about(request) {
			t.Lines = append(t.Lines, l)
		}
	})
	if err != nil {
		return t, err
	}
	if len(t.Lines) == 0 {
		return t, fmt.Errorf("%s: %w", request, ErrNotFound)
	}
	used := t.used()
	t.Unreadable = nil
	err = t.each(sources, func(_ []byte, l Line) {
		if used.by(l) {
			l.Related = true
			t.Lines = append(t.Lines, l)
		}
	})
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].Time.Before(t.Lines[j].Time) })
	return t, err
}

func (t *Trace) each(sources []Source, take func(raw []byte, l Line)) error {
	for _, s := range sources {
		if err := t.source(s, take); err != nil {
			return merry.Prependf(err, "read %s", s.Name)
		}
	}
	return nil
}

func (t *Trace) source(s Source, take func(raw []byte, l Line)) error {
	r, err := s.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		l, err := parse(lines.Bytes())
		if err != nil {
			t.Unreadable = append(t.Unreadable, fmt.Sprintf("%s:%d", s.Name, n))
			continue
		}
		if l.Node == "" {
			l.Node = s.Name
		}
		take(lines.Bytes(), l)
	}
	return lines.Err()
}

var errForeign = errors.New("not a log line")

// parse reads one line; what a collector has put before the line itself is passed over.
func parse(raw []byte) (Line, error) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return Line{}, errForeign
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
		return Line{}, errForeign
	}
	l.Time = at
	return l, nil
}

// about tells whether a line names the request, alone or among those of one call.
func (l Line) about(request string) bool {
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

// used is what a request has used: targets, nodes, and the time of it.
type used struct {
	targets map[string]bool
	nodes   map[string]bool
	from    time.Time
	to      time.Time
}

func (t *Trace) used() used {
	u := used{targets: map[string]bool{}, nodes: map[string]bool{}, from: t.Lines[0].Time, to: t.Lines[0].Time}
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
	u.from = u.from.Add(-before)
	return u
}

// by tells whether a line is of a change that may explain what became of the request.
func (u used) by(l Line) bool {
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
