package object

import (
	"bytes"
	"encoding/json"
)

// parseVersion parses the version of an object or a list in an era.
func parseVersion(era uint64, data []byte, v *Version) error {
	err := json.Unmarshal(data, v)
	*v = NewVersion(era, v.Revision())
	return err
}

// parseObject parses an object. Its value and status, which any writer may have put, are not read.
func parseObject(era uint64, data []byte) (Object, error) {
	o := Object{Version: NewVersion(era, 0)}
	err := ReadFields(data, func(f Field) error {
		switch f.Name {
		case "kind":
			return json.Unmarshal(f.Value, &o.Kind)
		case "name":
			return json.Unmarshal(f.Value, &o.Name)
		case "version":
			return parseVersion(era, f.Value, &o.Version)
		case "value":
			// The copy does not keep the rest of a list in memory.
			o.Value = bytes.Clone(f.Value)
		case "status":
			o.Status = bytes.Clone(f.Value)
		case "created":
			return json.Unmarshal(f.Value, &o.Created)
		}
		return nil
	})
	return o, err
}

func parseList(era uint64, data []byte) (List, error) {
	l := List{Version: NewVersion(era, 0)}
	err := ReadFields(data, func(f Field) error {
		switch f.Name {
		case "version":
			return parseVersion(era, f.Value, &l.Version)
		case "items":
			items, err := Elements(f.Value)
			if err != nil {
				return err
			}
			for _, item := range items {
				o, err := parseObject(era, item)
				if err != nil {
					return err
				}
				l.Items = append(l.Items, o)
			}
		}
		return nil
	})
	return l, err
}

func parseEvent(era uint64, data []byte) (Event, error) {
	var e Event
	err := ReadFields(data, func(f Field) (err error) {
		switch f.Name {
		case "type":
			return json.Unmarshal(f.Value, &e.Type)
		case "object":
			e.Object, err = parseObject(era, f.Value)
		}
		return err
	})
	return e, err
}
