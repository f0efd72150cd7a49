package quarantine

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/maphash"
)

// Kind is what a trait of requests is.
type Kind string

// The kinds of traits.
const (
	// PromptPart traits are parts of prompts that many requests share.
	PromptPart Kind = "part"
	// Content traits are the whole content of a request: all its attempts have it, and hardly any other request.
	Content Kind = "request"
)

// Trait is what requests to the targets of a service may have in common, and what they may crash targets by.
type Trait struct {
	Service string
	Kind    Kind
	ID      string
}

func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// Request is a request as far as it may crash targets.
type Request struct {
	// Service is that of the targets that run it.
	Service string
	// Parts are the IDs of the parts of its prompt that other requests may have.
	Parts []string
	// Head is what it asks for and who asks, Body its body.
	Head string
	Body []byte
	// Prompt names its prompt, "" for none. It tells requests without a body apart; others have their prompts in it.
	Prompt string
}

// idBytes is the length of an identity before it is encoded.
const idBytes = 8

// digest stands for some content. It can be guessed from what it stands for, so it is neither logged nor stored.
type digest [sha256.Size]byte

// Identity returns what identifies the request among nodes; it can be guessed from the content of the request.
func (r Request) Identity() []byte {
	d := r.digest()
	return d[:]
}

// Pieces returns the pieces of one stage of a request with an identity as far as they may crash the stage's targets.
func Pieces(service string, stage int, identity []byte) Request {
	return Request{Service: service, Head: fmt.Sprint("stage ", stage), Body: identity}
}

func (r Request) digest() digest {
	if len(r.Body) == 0 {
		return digestOf([]byte(r.Head), nil, []byte(r.Prompt))
	}
	return digestOf([]byte(r.Head), r.Body)
}

func digestOf(fields ...[]byte) digest {
	h := sha256.New()
	for _, f := range fields {
		h.Write(f)
		h.Write([]byte{0})
	}
	return digest(h.Sum(nil))
}

// name returns what a digest is called. Nobody without the key can tell what it stands for.
func (d digest) name(key []byte) string {
	h := hmac.New(sha256.New, key)
	h.Write(d[:])
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// contentTrait returns the trait of a request as a whole.
func (d digest) contentTrait(service string, key []byte) Trait {
	return Trait{Service: service, Kind: Content, ID: d.name(key)}
}

// partTraits returns the parts of a request's prompt.
func (r Request) partTraits() []Trait {
	list := make([]Trait, 0, len(r.Parts))
	for _, id := range r.Parts {
		list = append(list, Trait{Service: r.Service, Kind: PromptPart, ID: id})
	}
	return list
}

// hash returns what stands for a request as a whole within one process.
func (r Request) hash(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	// Writing to a hash never fails.
	_, _ = h.WriteString(r.Service)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(r.Head)
	_ = h.WriteByte(0)
	_, _ = h.Write(r.Body)
	if len(r.Body) == 0 {
		_, _ = h.WriteString(r.Prompt)
	}
	return h.Sum64()
}
