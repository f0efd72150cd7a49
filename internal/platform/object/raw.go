package object

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Field is one field of a JSON object, with its value as it was sent.
type Field struct {
	Name  string
	Value json.RawMessage
}

// whiteSpace is what JSON has between its values.
const whiteSpace = " \t\r\n"

var errUnbalanced = merry.Sentinel("not a JSON value, or not all of one")

// Fields splits a JSON object into its fields; null has none.
//
// It does not read the values, so that one which is malformed or nested too deeply for encoding/json does not cost the others.
func Fields(data []byte) ([]Field, error) {
	var fields []Field
	err := split(data, '{', '}', func(s *splitter) error {
		name, err := s.value()
		if err != nil {
			return err
		}
		if len(name) == 0 || name[0] != '"' || s.next() != ':' {
			return merry.Prepend(errUnbalanced, "name of a field at byte "+strconv.Itoa(s.pos))
		}
		s.pos++
		value, err := s.value()
		if err != nil {
			return err
		}
		f := Field{Value: value}
		if err := json.Unmarshal(name, &f.Name); err != nil {
			// No field that is wanted has such a name.
			f.Name = string(name)
		}
		fields = append(fields, f)
		return nil
	})
	return fields, err
}

// ReadFields calls read for each field of a JSON object, until it returns an error.
func ReadFields(data []byte, read func(Field) error) error {
	fields, err := Fields(data)
	for _, f := range fields {
		if err != nil {
			return err
		}
		err = merry.Prepend(read(f), f.Name)
	}
	return err
}

// Elements splits a JSON array into its elements, which it does not read; null has none.
func Elements(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(data, '[', ']', func(s *splitter) error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// splitter is a place in JSON text.
type splitter struct {
	data []byte
	pos  int
}

// split calls read for each of the parts between two brackets, which commas separate.
func split(data []byte, opening, closing byte, read func(*splitter) error) error {
	if string(bytes.Trim(data, whiteSpace)) == "null" {
		return nil
	}
	s := &splitter{data: data}
	if s.next() != opening {
		return merry.Prepend(errUnbalanced, "want "+string(opening))
	}
	s.pos++
	if s.next() == closing {
		s.pos++
		return s.end()
	}
	for {
		if err := read(s); err != nil {
			return err
		}
		c := s.next()
		s.pos++
		switch c {
		case ',':
		case closing:
			return s.end()
		default:
			return merry.Prepend(errUnbalanced, "after byte "+strconv.Itoa(s.pos))
		}
	}
}

// end returns an error unless only white space is left.
func (s *splitter) end() error {
	if s.next() != 0 || s.pos < len(s.data) {
		return merry.Prepend(errUnbalanced, "end at byte "+strconv.Itoa(s.pos))
	}
	return nil
}

// next returns the next byte that is not white space, 0 at the end.
func (s *splitter) next() byte {
	for ; s.pos < len(s.data); s.pos++ {
		if c := s.data[s.pos]; strings.IndexByte(whiteSpace, c) < 0 {
			return c
		}
	}
	return 0
}

// value returns the next value, up to the comma, colon or bracket that ends it outside of strings.
func (s *splitter) value() (json.RawMessage, error) {
	s.next()
	start, depth := s.pos, 0
	for ; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case '"':
			if !s.skipString() {
				return nil, errUnbalanced
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.since(start)
			}
			depth--
		case ',', ':':
			if depth == 0 {
				return s.since(start)
			}
		}
	}
	return nil, errUnbalanced
}

func (s *splitter) since(start int) (json.RawMessage, error) {
	value := bytes.TrimRight(s.data[start:s.pos:s.pos], whiteSpace)
	if len(value) == 0 {
		return nil, errUnbalanced
	}
	return value, nil
}

// skipString moves to the end of the string that begins here; it returns false if there is none.
func (s *splitter) skipString() bool {
	s.pos++
	for quote := s.pos - 1; ; {
		if quote < s.pos {
			i := bytes.IndexByte(s.data[min(s.pos, len(s.data)):], '"')
			if i < 0 {
				return false
			}
			quote = s.pos + i
		}
		i := bytes.IndexByte(s.data[s.pos:quote], '\\')
		if i < 0 {
			s.pos = quote
			return true
		}
		s.pos += i + 2
	}
}
