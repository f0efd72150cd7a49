package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

// The object kinds and names under which the platform stores releases.
const (
	HeadKind  = "head"
	HeadName  = "main"
	ChunkKind = "chunk"
	// HistoryKind is the kind of the heads of former releases, named by number.
	HistoryKind = "release"
)

// IsHeadName reports whether an object is the head of any era of the platform.
func IsHeadName(name string) bool { return name == HeadName || strings.HasPrefix(name, HeadName+"@") }

// TeamBuckets is the number of chunks over which the teams are distributed.
const TeamBuckets = 192

// MaxChunkBytes limits a chunk so that it fits into one value of the platform.
const MaxChunkBytes = 900 << 10

// Head describes one release: its number, the operator who published it and the hashes of its chunks.
type Head struct {
	Number   uint64   `json:"number"`
	ID       string   `json:"id"`
	Operator string   `json:"who"`
	Reason   string   `json:"reason,omitempty"`
	Chunks   []string `json:"chunks"`
}

// Chunk is a part of a release, identified by the hash of its content.
type Chunk struct {
	Hash string
	Data []byte
}

// NewChunk returns a chunk of data with its hash.
func NewChunk(data []byte) Chunk {
	sum := sha256.Sum256(data)
	return Chunk{Hash: hex.EncodeToString(sum[:16]), Data: data}
}

// Release is an immutable, numbered set of objects.
type Release struct {
	Head   Head
	Set    Set
	chunks map[string]decodedChunk
}

type decodedChunk struct {
	data    []byte
	objects []any
}

// Pack splits a set into chunks: teams by bucket, all other kinds in one chunk.
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

// Chunk returns the content of the chunk with a hash, or false if the release has no such chunk.
func (r *Release) Chunk(hash string) ([]byte, bool) {
	c, ok := r.chunks[hash]
	return c.data, ok
}

// Missing returns the hashes of the chunks of h that r lacks; r may be nil.
func (r *Release) Missing(h Head) []string {
	var missing []string
	for _, hash := range h.Chunks {
		if r == nil || r.chunks[hash].data == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Build returns the release that h describes, built from the chunks of r and the received ones; r may be nil.
func (r *Release) Build(h Head, received []Chunk) (*Release, error) {
	next := &Release{Head: h, Set: NewSet(), chunks: make(map[string]decodedChunk, len(h.Chunks))}
	dataByHash := map[string][]byte{}
	for _, c := range received {
		dataByHash[c.Hash] = c.Data
	}
	for _, hash := range h.Chunks {
		c, err := r.loadChunk(hash, dataByHash)
		if err != nil {
			return nil, merry.Prependf(err, "build release %d", h.Number)
		}
		next.chunks[hash] = c
		for _, o := range c.objects {
			next.Set.Add(o)
		}
	}
	return next, nil
}

func (r *Release) loadChunk(hash string, dataByHash map[string][]byte) (decodedChunk, error) {
	if r != nil {
		if c, ok := r.chunks[hash]; ok {
			return c, nil
		}
	}
	data, ok := dataByHash[hash]
	if !ok {
		return decodedChunk{}, merry.Errorf("chunk %s is missing", hash)
	}
	if NewChunk(data).Hash != hash {
		return decodedChunk{}, merry.Errorf("chunk %s has other content than its name", hash)
	}
	var list []Object
	if err := json.Unmarshal(data, &list); err != nil {
		return decodedChunk{}, merry.Prependf(err, "chunk %s", hash)
	}
	c := decodedChunk{data: data, objects: make([]any, 0, len(list))}
	for _, o := range list {
		object, violations := Decode(o.Kind, o.Name, o.Value)
		if object == nil {
			return decodedChunk{}, merry.Prependf(violations, "chunk %s", hash)
		}
		c.objects = append(c.objects, object)
	}
	return c, nil
}

// Change is an object that differs between two sets.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line that begins with +, - or ~.
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

// Diff returns the changes from old to new, sorted by kind and name.
func Diff(old, new Set) []Change {
	changes := map[string]Change{}
	for _, o := range old.Objects() {
		changes[o.Kind+"/"+o.Name] = Change{Kind: o.Kind, Name: o.Name, Before: string(o.Value)}
	}
	for _, o := range new.Objects() {
		c := changes[o.Kind+"/"+o.Name]
		c.Kind, c.Name, c.After = o.Kind, o.Name, string(o.Value)
		changes[o.Kind+"/"+o.Name] = c
	}
	var list []Change
	for _, c := range changes {
		if c.Before != c.After {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Kind+"/"+list[i].Name < list[j].Kind+"/"+list[j].Name
	})
	return list
}
