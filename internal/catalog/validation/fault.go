package validation

import (
	"fmt"
	"regexp"
	"strings"
)

// Violation is one thing wrong with one field of one object.
type Violation struct {
	File  string `json:"file,omitempty"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// String gives the fault as one line.
func (f Violation) String() string {
	line := fmt.Sprintf("%s %q: %s: %s", f.Kind, f.Name, f.Field, f.Text)
	if f.File == "" {
		return line
	}
	return f.File + ": " + line
}

// Violations collects the faults of one or many objects.
type Violations []Violation

// Error lists every fault, a line each.
func (l Violations) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err is nil for an empty list, else the list itself.
func (l Violations) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Checker collects the faults of one object.
type Checker struct {
	Kind string
	Name string
	list Violations
}

// Check records a fault in field unless ok holds.
func (c *Checker) Check(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.list = append(c.list, Violation{Kind: c.Kind, Name: c.Name, Field: field, Text: fmt.Sprintf(format, args...)})
}

// List gives what was collected.
func (c *Checker) List() Violations { return c.list }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName tells whether name may be the name of an object.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// CheckName records a fault unless the object's name may be used.
func (c *Checker) CheckName() {
	c.Check(ValidName(c.Name), "name", "must be 1 to 63 lower-case letters, digits, dots, dashes or underscores")
}
