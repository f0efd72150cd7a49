package validation

import (
	"fmt"
	"regexp"
	"strings"
)

// Violation is a rule that one field of one object breaks.
type Violation struct {
	File  string `json:"file,omitempty"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	line := fmt.Sprintf("%s %q: %s: %s", v.Kind, v.Name, v.Field, v.Text)
	if v.File == "" {
		return line
	}
	return v.File + ": " + line
}

// Violations is a list of violations of one or several objects.
type Violations []Violation

// Error returns all violations, one per line.
func (v Violations) Error() string {
	lines := make([]string, 0, len(v))
	for _, violation := range v {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns nil for an empty list, otherwise the list itself.
func (v Violations) Err() error {
	if len(v) == 0 {
		return nil
	}
	return v
}

// Checker collects the violations of one object.
type Checker struct {
	Kind string
	Name string
	list Violations
}

// Check records a violation in field unless ok is true.
func (c *Checker) Check(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.list = append(c.list, Violation{Kind: c.Kind, Name: c.Name, Field: field, Text: fmt.Sprintf(format, args...)})
}

// List returns the collected violations.
func (c *Checker) List() Violations { return c.list }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether name is a valid name of an object.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// CheckName records a violation unless the name of the object is valid.
func (c *Checker) CheckName() {
	c.Check(ValidName(c.Name), "name", "must be 1 to 63 lower-case letters, digits, dots, dashes or underscores")
}
