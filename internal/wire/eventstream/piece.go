package eventstream

import "slices"

// piece is the end of a text that is read in pieces; nil is the empty text. A text grows without its former pieces being copied.
type piece struct {
	before *piece
	data   []byte
	// size is the length of the text up to the end of the piece.
	size int
}

// with returns the text with a copy of data behind it.
func (p *piece) with(data []byte) *piece {
	if len(data) == 0 {
		return p
	}
	return &piece{before: p, data: slices.Clone(data), size: p.length() + len(data)}
}

// length returns the length of the text.
func (p *piece) length() int {
	if p == nil {
		return 0
	}
	return p.size
}

// join returns the text.
func (p *piece) join() []byte {
	if p == nil {
		return nil
	}
	text := make([]byte, p.size)
	for ; p != nil; p = p.before {
		copy(text[p.size-len(p.data):], p.data)
	}
	return text
}
