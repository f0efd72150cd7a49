package release

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
)

// Kinds lists the kinds of objects that operators edit.
var Kinds = []string{datacentre.Kind, pool.Kind, stage.Kind, pipeline.Kind, team.Kind}

// Set holds all objects that are published together.
type Set struct {
	Datacentres map[string]datacentre.Datacentre
	Pools       map[string]pool.Pool
	Stages      map[string]stage.Stage
	Pipelines   map[string]pipeline.Pipeline
	Teams       map[string]team.Team
}

// NewSet returns an empty set.
func NewSet() Set {
	return Set{
		Datacentres: map[string]datacentre.Datacentre{},
		Pools:       map[string]pool.Pool{},
		Stages:      map[string]stage.Stage{},
		Pipelines:   map[string]pipeline.Pipeline{},
		Teams:       map[string]team.Team{},
	}
}

// Object is an object of any kind as JSON, with its defaults filled in.
type Object struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Objects returns the objects of the set, ordered by kind and name.
func (s Set) Objects() []Object {
	var list []Object
	list = appendObjects(list, datacentre.Kind, s.Datacentres)
	list = appendObjects(list, pool.Kind, s.Pools)
	list = appendObjects(list, stage.Kind, s.Stages)
	list = appendObjects(list, pipeline.Kind, s.Pipelines)
	return appendObjects(list, team.Kind, s.Teams)
}

func appendObjects[T any](list []Object, kind string, objects map[string]T) []Object {
	names := make([]string, 0, len(objects))
	for n := range objects {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		value, err := json.Marshal(objects[n])
		if err != nil {
			panic("release: encode object: " + err.Error())
		}
		list = append(list, Object{Kind: kind, Name: n, Value: value})
	}
	return list
}

// Decode decodes one object, rejecting unknown fields, and returns it with its violations; the object is nil if it cannot be
// decoded.
func Decode(kind, name string, value []byte) (any, validation.Violations) {
	switch kind {
	case datacentre.Kind:
		return decode(kind, name, value, datacentre.Datacentre.WithDefaults, datacentre.Datacentre.Validate)
	case pool.Kind:
		return decode(kind, name, value, pool.Pool.WithDefaults, pool.Pool.Validate)
	case stage.Kind:
		return decode(kind, name, value, stage.Stage.WithDefaults, stage.Stage.Validate)
	case pipeline.Kind:
		return decode(kind, name, value, pipeline.Pipeline.WithDefaults, pipeline.Pipeline.Validate)
	case team.Kind:
		return decode(kind, name, value, team.Team.WithDefaults, team.Team.Validate)
	}
	return nil, validation.Violations{{Kind: kind, Name: name, Field: "kind", Text: "is not known"}}
}

func decode[T any](kind, name string, value []byte, defaults func(T) T, check func(T) validation.Violations) (any, validation.Violations) {
	var t T
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return nil, validation.Violations{{Kind: kind, Name: name, Field: "value", Text: err.Error()}}
	}
	t = defaults(t)
	return t, check(t)
}

// Add puts a decoded object into the set; it returns false if the set already had one of that kind and name.
func (s Set) Add(object any) bool {
	switch o := object.(type) {
	case datacentre.Datacentre:
		return put(s.Datacentres, o.Name, o)
	case pool.Pool:
		return put(s.Pools, o.Name, o)
	case stage.Stage:
		return put(s.Stages, o.Name, o)
	case pipeline.Pipeline:
		return put(s.Pipelines, o.Name, o)
	case team.Team:
		return put(s.Teams, o.Name, o)
	}
	return false
}

func put[T any](objects map[string]T, name string, t T) bool {
	_, exists := objects[name]
	objects[name] = t
	return !exists
}

// Validate returns the violations of each object and of the references between them.
func (s Set) Validate() validation.Violations {
	var list validation.Violations
	list = appendViolations(list, s.Datacentres)
	list = appendViolations(list, s.Pools)
	list = appendViolations(list, s.Stages)
	list = appendViolations(list, s.Pipelines)
	list = appendViolations(list, s.Teams)
	list = append(list, s.checkPools()...)
	list = append(list, s.checkStages()...)
	list = append(list, s.checkPipelines()...)
	return list
}

type validator interface{ Validate() validation.Violations }

func appendViolations[T validator](list validation.Violations, objects map[string]T) validation.Violations {
	for _, n := range sortedNames(objects) {
		list = append(list, objects[n].Validate()...)
	}
	return list
}

func sortedNames[T any](objects map[string]T) []string {
	names := make([]string, 0, len(objects))
	for n := range objects {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (s Set) checkPools() validation.Violations {
	var list validation.Violations
	poolOf := map[string]string{}
	for _, n := range sortedNames(s.Pools) {
		p := s.Pools[n]
		c := validation.Checker{Kind: pool.Kind, Name: n}
		inService := false
		for _, t := range p.Targets {
			d, ok := s.Datacentres[t.Datacentre]
			c.Check(ok, "target."+t.Name+".datacentre", "data centre %q does not exist", t.Datacentre)
			inService = inService || (ok && d.State == datacentre.InService && t.State == pool.InService)
			c.Check(poolOf[t.Name] == "", "target."+t.Name+".name", "is also in pool %q", poolOf[t.Name])
			poolOf[t.Name] = n
		}
		c.Check(inService, FieldReachability, "no target is in a data centre that is in")
		list = append(list, c.List()...)
	}
	return list
}

// FieldReachability is the field of the violation that an operator may override with force and a reason.
const FieldReachability = "reach"

// CanForce reports whether an operator who gives a reason may override all violations.
func CanForce(list validation.Violations) bool {
	for _, v := range list {
		if v.Field != FieldReachability {
			return false
		}
	}
	return true
}

func (s Set) checkStages() validation.Violations {
	var list validation.Violations
	for _, n := range sortedNames(s.Stages) {
		c := validation.Checker{Kind: stage.Kind, Name: n}
		_, ok := s.Pools[s.Stages[n].Pool]
		c.Check(ok, "pool", "pool %q does not exist", s.Stages[n].Pool)
		list = append(list, c.List()...)
	}
	return list
}

func (s Set) checkPipelines() validation.Violations {
	var list validation.Violations
	for _, n := range sortedNames(s.Pipelines) {
		p := s.Pipelines[n]
		c := validation.Checker{Kind: pipeline.Kind, Name: n}
		var longest time.Duration
		noRetry := 0
		for _, name := range p.Stages {
			st, ok := s.Stages[name]
			c.Check(ok, "stages", "stage %q does not exist", name)
			longest = max(longest, st.Timeout.Duration())
			if st.RetryPolicy == stage.RetryNever {
				noRetry++
			}
		}
		c.Check(longest <= p.Deadline.Duration(), "stages", "a stage timeout of %s is longer than the deadline %s", longest, p.Deadline)
		c.Check(noRetry <= 1, "stages", "at most one stage may have repeat %q, not %d", stage.RetryNever, noRetry)
		list = append(list, c.List()...)
	}
	return list
}
