package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

// The platform's object kinds and names of releases.
const (
	HeadKind  = "head"
	HeadName  = "main"
	ChunkKind = "chunk"
	// HistoryKind holds the heads of former releases, by number.
	HistoryKind = "release"
)

// TeamBuckets is how many chunks the teams are spread over.
const TeamBuckets = 192

// MaxChunkBytes keeps a chunk inside one value of the platform.
const MaxChunkBytes = 900 << 10

// Head names one release: its number, who published it and its chunks by content.
type Head struct {
	Number   uint64   `json:"number"`
	ID       string   `json:"id"`
	Operator string   `json:"who"`
	Reason   string   `json:"reason,omitempty"`
	Chunks   []string `json:"chunks"`
}

// Chunk is part of a release, named by the hash of its content.
type Chunk struct {
	Hash string
	Data []byte
}

// NewChunk names data by its content.
func NewChunk(data []byte) Chunk {
	sum := sha256.Sum256(data)
	return Chunk{Hash: hex.EncodeToString(sum[:16]), Data: data}
}

// Release is an immutable numbered set.
type Release struct {
	Head   Head
	Set    Set
	chunks map[string]part
}

type part struct {
	data    []byte
	objects []any
}

// Pack splits a set into chunks: teams by bucket, every other kind together.
func Pack(s Set) ([]Chunk, error) {
	groups := make([][]Object, TeamBuckets+1)
	for _, o := range s.Objects() {
		i := TeamBuckets
		if o.Kind == team.Kind {
			i = int(xxhash.Sum64String(o.Name) % TeamBuckets)
		}
		groups[i] = append(groups[i], o)
	}
	var chunks []Chunk
	for _, g := range groups {
		if len(g) == 0 {
			continue
		}
		data, err := json.Marshal(g)
		if err != nil {
			return nil, merry.Prepend(err, "pack release")
		}
		if len(data) > MaxChunkBytes {
			return nil, merry.Errorf("pack release: a chunk of %d bytes is over the bound of %d", len(data), MaxChunkBytes)
		}
		chunks = append(chunks, NewChunk(data))
	}
	return chunks, nil
}

// Chunk gives the content named hash; false if the release has none.
func (r *Release) Chunk(hash string) ([]byte, bool) {
	p, ok := r.chunks[hash]
	return p.data, ok
}

// Missing lists the chunks of h that r does not hold; r may be nil.
func (r *Release) Missing(h Head) []string {
	var list []string
	for _, hash := range h.Chunks {
		if r == nil || r.chunks[hash].data == nil {
			list = append(list, hash)
		}
	}
	return list
}

// Build makes the release that h names, out of r's own chunks and the fresh ones; r may be nil.
func (r *Release) Build(h Head, fresh []Chunk) (*Release, error) {
	next := &Release{Head: h, Set: NewSet(), chunks: make(map[string]part, len(h.Chunks))}
	given := map[string][]byte{}
	for _, c := range fresh {
		given[c.Hash] = c.Data
	}
	for _, hash := range h.Chunks {
		p, err := r.part(hash, given)
		if err != nil {
			return nil, merry.Prependf(err, "build release %d", h.Number)
		}
		next.chunks[hash] = p
		for _, o := range p.objects {
			next.Set.Add(o)
		}
	}
	return next, nil
}

func (r *Release) part(hash string, given map[string][]byte) (part, error) {
	if r != nil {
		if p, ok := r.chunks[hash]; ok {
			return p, nil
		}
	}
	data, ok := given[hash]
	if !ok {
		return part{}, merry.Errorf("chunk %s is missing", hash)
	}
	if NewChunk(data).Hash != hash {
		return part{}, merry.Errorf("chunk %s has other content than its name", hash)
	}
	var list []Object
	if err := json.Unmarshal(data, &list); err != nil {
		return part{}, merry.Prependf(err, "chunk %s", hash)
	}
	p := part{data: data, objects: make([]any, 0, len(list))}
	for _, o := range list {
		object, faults := Decode(o.Kind, o.Name, o.Value)
		if object == nil {
			return part{}, merry.Prependf(faults, "chunk %s", hash)
		}
		p.objects = append(p.objects, object)
	}
	return p, nil
}

// Change is one object that differs between two sets.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String gives the change as one line with a sign.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s %s", c.Kind, c.Name, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s %s", c.Kind, c.Name, c.Before)
	default:
		return fmt.Sprintf("~ %s %s %s -> %s", c.Kind, c.Name, c.Before, c.After)
	}
}

// Diff lists what differs from old to new, by kind and name.
func Diff(old, new Set) []Change {
	all := map[string]Change{}
	for _, o := range old.Objects() {
		all[o.Kind+"/"+o.Name] = Change{Kind: o.Kind, Name: o.Name, Before: string(o.Value)}
	}
	for _, o := range new.Objects() {
		c := all[o.Kind+"/"+o.Name]
		c.Kind, c.Name, c.After = o.Kind, o.Name, string(o.Value)
		all[o.Kind+"/"+o.Name] = c
	}
	var list []Change
	for _, c := range all {
		if c.Before != c.After {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Kind+"/"+list[i].Name < list[j].Kind+"/"+list[j].Name
	})
	return list
}
