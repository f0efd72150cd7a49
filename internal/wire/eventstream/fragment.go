package eventstream

import "slices"

// fragment is the end of a text that is read in parts; nil is the empty text. A text grows without its former parts being copied.
type fragment struct {
	before *fragment
	data   []byte
	// size is the length of the text up to the end of the fragment.
	size int
}

// with returns the text with a copy of data behind it.
func (p *fragment) with(data []byte) *fragment {
	if len(data) == 0 {
		return p
	}
	return &fragment{before: p, data: slices.Clone(data), size: p.length() + len(data)}
}

// length returns the length of the text.
func (p *fragment) length() int {
	if p == nil {
		return 0
	}
	return p.size
}

// join returns the text.
func (p *fragment) join() []byte {
	if p == nil {
		return nil
	}
	text := make([]byte, p.size)
	for ; p != nil; p = p.before {
		copy(text[p.size-len(p.data):], p.data)
	}
	return text
}
