package bundle

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// file is the structure of one TOML file.
type file struct {
	Datacentres []datacentre.Datacentre `toml:"datacentre"`
	Pools       []pool.Pool             `toml:"pool"`
	Stages      []stage.Stage           `toml:"stage"`
	Pipelines   []pipeline.Pipeline     `toml:"pipeline"`
	Teams       []team.Team             `toml:"team"`
}

// Bundle is a set that records the file of each object.
type Bundle struct {
	Set   release.Set
	files map[string]string
}

// Read reads all .toml files of a directory and returns all violations, each with its file.
func Read(dir string) (Bundle, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return Bundle{}, merry.Prepend(err, "read objects")
	}
	if len(paths) == 0 {
		return Bundle{}, merry.Errorf("read objects: %s has no .toml file", dir)
	}
	sort.Strings(paths)
	b := Bundle{Set: release.NewSet(), files: map[string]string{}}
	var list validation.Violations
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return Bundle{}, merry.Prepend(err, "read objects")
		}
		list = append(list, b.Add(filepath.Base(p), data)...)
	}
	return b, append(list, b.Validate()...).Err()
}

// New returns an empty bundle.
func New() Bundle { return Bundle{Set: release.NewSet(), files: map[string]string{}} }

// Add adds the objects of one file and returns a violation for each that cannot be decoded or is defined twice.
func (b Bundle) Add(name string, data []byte) validation.Violations {
	var f file
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return decodeViolations(name, err)
	}
	var list validation.Violations
	list = append(list, add(b, name, datacentre.Kind, f.Datacentres, datacentre.Datacentre.WithDefaults, func(d datacentre.Datacentre) string { return d.Name })...)
	list = append(list, add(b, name, pool.Kind, f.Pools, pool.Pool.WithDefaults, func(p pool.Pool) string { return p.Name })...)
	list = append(list, add(b, name, stage.Kind, f.Stages, stage.Stage.WithDefaults, func(s stage.Stage) string { return s.Name })...)
	list = append(list, add(b, name, pipeline.Kind, f.Pipelines, pipeline.Pipeline.WithDefaults, func(p pipeline.Pipeline) string { return p.Name })...)
	return append(list, add(b, name, team.Kind, f.Teams, team.Team.WithDefaults, func(t team.Team) string { return t.Name })...)
}

func add[T any](b Bundle, file, kind string, objects []T, defaults func(T) T, name func(T) string) validation.Violations {
	var list validation.Violations
	for _, o := range objects {
		o = defaults(o)
		if !b.Set.Add(o) {
			list = append(list, validation.Violation{File: file, Kind: kind, Name: name(o), Field: "name", Text: "stands twice, also in " + b.files[kind+"/"+name(o)]})
		}
		b.files[kind+"/"+name(o)] = file
	}
	return list
}

// Validate returns the violations of the set, each with its file.
func (b Bundle) Validate() validation.Violations {
	list := b.Set.Validate()
	for i, v := range list {
		list[i].File = b.files[v.Kind+"/"+v.Name]
	}
	return list
}

func decodeViolations(name string, err error) validation.Violations {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return validation.Violations{{File: name, Kind: "file", Field: "toml", Text: err.Error()}}
	}
	var list validation.Violations
	for _, e := range strict.Errors {
		key := e.Key()
		list = append(list, validation.Violation{File: name, Kind: key[0], Field: strings.Join(key[min(1, len(key)-1):], "."), Text: "is not known"})
	}
	return list
}
