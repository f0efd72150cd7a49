package intake

import "context"

// Holding is what a connection holds for a part of a response whose size changes while it is passed on.
type Holding struct {
	// conn is nil for a connection without bounds.
	conn  *Conn
	bytes int64
}

// NewHolding returns a holding of no bytes.
func (c *Conn) NewHolding() *Holding { return &Holding{conn: c} }

// Resize waits until there is room for n bytes in place of those that are held.
func (h *Holding) Resize(ctx context.Context, n int64) error {
	if h.conn == nil || n == h.bytes {
		return nil
	}
	if n < h.bytes {
		h.conn.release(h.bytes - n)
	} else if err := h.conn.acquire(ctx, n-h.bytes, ForResponse); err != nil {
		return err
	}
	h.bytes = n
	return nil
}

// Free gives all bytes back.
func (h *Holding) Free() {
	if h.conn != nil && h.bytes > 0 {
		h.conn.release(h.bytes)
		h.bytes = 0
	}
}
