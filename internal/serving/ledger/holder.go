package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	writeBackoff = 100 * time.Millisecond
	cleanAbove   = 32
	cleanBatch   = 16
)

// HolderConfig says which shard is held, by whom and how.
type HolderConfig struct {
	Shard  int
	Writer string
	Store  object.Store
	Now    func() time.Time
	// Commit is the least time between two segments.
	Commit time.Duration
	// Patience is how long a claim waits to become durable.
	Patience time.Duration
	Retain   time.Duration
}

// Holder serves one shard and is the only one to write its log until another takes over.
type Holder struct {
	cfg HolderConfig

	mu       sync.Mutex
	shard    *Shard
	seq      uint64
	oldest   uint64
	segments map[uint64][]string
	pending  []*operation
	// claims holds the keys whose claim is not durable yet.
	claims  map[string]*operation
	changed chan struct{}
	wake    chan struct{}
	down    bool
	lost    bool
	writes  int64
}

type operation struct {
	row  Row
	done chan struct{}
	// gone is set by a claimer that waits no longer.
	gone bool
}

// Open takes the shard over: it fences the former holder, reads the log and begins to serve.
func Open(ctx context.Context, cfg HolderConfig) (*Holder, error) {
	h := &Holder{
		cfg:      cfg,
		segments: map[uint64][]string{},
		claims:   map[string]*operation{},
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	for {
		list, err := cfg.Store.List(ctx, Kind, prefix(cfg.Shard))
		if err != nil {
			return nil, merry.Prependf(err, "open ledger shard %d", cfg.Shard)
		}
		if err := h.load(list); err != nil {
			return nil, merry.Prependf(err, "open ledger shard %d", cfg.Shard)
		}
		won, err := h.create(ctx, h.seq+1, Segment{Writer: cfg.Writer, Nonce: h.seq + 1})
		if err != nil {
			return nil, merry.Prependf(err, "open ledger shard %d", cfg.Shard)
		}
		if won {
			h.seq++
			h.segments[h.seq] = nil
			return h, nil
		}
	}
}

func (h *Holder) load(list object.List) error {
	h.shard = NewShard(h.cfg.Retain)
	h.segments = map[uint64][]string{}
	h.seq, h.oldest = 0, 1
	for i, item := range list.Items {
		seq, err := sequence(h.cfg.Shard, item.Name)
		if err != nil {
			return err
		}
		var s Segment
		if err := json.Unmarshal(item.Value, &s); err != nil {
			return merry.Prependf(err, "segment %s", item.Name)
		}
		if i == 0 {
			h.oldest = seq
		}
		h.seq = seq
		h.apply(seq, s.Rows)
	}
	h.shard.Forget(h.cfg.Now())
	return nil
}

func (h *Holder) apply(seq uint64, rows []Row) {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		h.shard.Apply(r)
		keys = append(keys, r.Key)
	}
	h.segments[seq] = keys
}

// create writes a segment; a lost answer is settled by reading it back. False means that another holder was first.
func (h *Holder) create(ctx context.Context, seq uint64, s Segment) (bool, error) {
	name := SegmentName(h.cfg.Shard, seq)
	h.mu.Lock()
	h.writes++
	h.mu.Unlock()
	_, err := h.cfg.Store.Put(ctx, Kind, name, 0, s)
	if err == nil {
		return true, nil
	}
	var conflict *object.Conflict
	if errors.As(err, &conflict) {
		return own(conflict.Current.Value, s), nil
	}
	o, readErr := h.cfg.Store.Get(ctx, Kind, name)
	if readErr != nil {
		return false, err
	}
	return own(o.Value, s), nil
}

func own(value []byte, s Segment) bool {
	var there Segment
	if json.Unmarshal(value, &there) != nil {
		return false
	}
	return there.Writer == s.Writer && there.Nonce == s.Nonce
}

// Run commits what is pending until ctx ends or the shard is lost; it then commits the rest once.
func (h *Holder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			h.flush(context.WithoutCancel(ctx), 1)
			h.lose()
			return
		case <-h.wake:
		}
		h.flush(ctx, 0)
		if h.Lost() {
			return
		}
		h.clean(ctx)
		pause(ctx, h.cfg.Commit)
	}
}

// flush writes the pending rows; it tries until it is done, the shard is lost or tries are used up (0 is no bound).
func (h *Holder) flush(ctx context.Context, tries int) {
	batch := h.take()
	if len(batch) == 0 {
		return
	}
	seq := h.seq + 1
	s := Segment{Writer: h.cfg.Writer, Nonce: seq}
	for _, op := range batch {
		s.Rows = append(s.Rows, op.row)
	}
	for n := 1; ; n++ {
		won, err := h.create(ctx, seq, s)
		if err == nil {
			h.committed(won, seq, batch)
			return
		}
		h.setDown(true)
		if n == tries || (tries == 0 && ctx.Err() != nil) {
			h.lose()
			return
		}
		pause(ctx, writeBackoff)
	}
}

// take moves pending rows into a batch, up to a segment's size.
func (h *Holder) take() []*operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	size, n := 0, 0
	for n < len(h.pending) && size < MaxSegmentBytes {
		size += 200 + len(h.pending[n].row.Body)*4/3
		n++
	}
	batch := h.pending[:n:n]
	h.pending = h.pending[n:]
	if len(h.pending) > 0 {
		h.poke()
	}
	return batch
}

func (h *Holder) committed(won bool, seq uint64, batch []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = false
	if !won {
		h.loseLocked()
		return
	}
	h.seq = seq
	rows := make([]Row, 0, len(batch))
	for _, op := range batch {
		rows = append(rows, op.row)
	}
	h.apply(seq, rows)
	for _, op := range batch {
		h.finish(op)
	}
	h.announce()
}

// finish ends one committed operation; a claim whose claimer has left is void, since it was never sent.
func (h *Holder) finish(op *operation) {
	if h.claims[op.row.Key] == op {
		delete(h.claims, op.row.Key)
	}
	if op.gone {
		r := op.row
		r.State = Void
		h.push(r)
	}
	close(op.done)
}

func (h *Holder) push(r Row) *operation {
	op := &operation{row: r, done: make(chan struct{})}
	h.pending = append(h.pending, op)
	h.poke()
	return op
}

func (h *Holder) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Holder) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
	h.announce()
}

func (h *Holder) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loseLocked()
}

func (h *Holder) loseLocked() {
	h.lost = true
	h.announce()
}

// Lost tells that another node has taken the shard over, or that this one gave it up.
func (h *Holder) Lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// Writes is how many segments were sent to the platform.
func (h *Holder) Writes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writes
}

// Claim asks to run the request of row; Granted is given only once the claim is durable.
func (h *Holder) Claim(ctx context.Context, row Row) Answer {
	h.mu.Lock()
	a, op := h.claim(row)
	h.mu.Unlock()
	if op == nil {
		return a
	}
	patience := time.NewTimer(h.cfg.Patience)
	defer patience.Stop()
	for {
		h.mu.Lock()
		changed, lost, down := h.changed, h.lost, h.down
		h.mu.Unlock()
		select {
		case <-op.done:
			return Answer{Verdict: Granted}
		default:
		}
		switch {
		case lost:
			return Answer{Verdict: Moved}
		case down:
			return h.leave(op)
		}
		select {
		case <-op.done:
		case <-changed:
		case <-ctx.Done():
			return h.leave(op)
		case <-patience.C:
			return h.leave(op)
		}
	}
}

// claim decides under the lock; an operation is returned if the claim has to become durable first.
func (h *Holder) claim(row Row) (Answer, *operation) {
	if h.lost {
		return Answer{Verdict: Moved}, nil
	}
	if first, ok := h.claims[row.Key]; ok {
		if first.row.Digest != row.Digest {
			return Answer{Verdict: Reused}, nil
		}
		if first.gone {
			return Answer{Verdict: Down}, nil
		}
		if first.row.Request == row.Request {
			return Answer{}, first
		}
		return Answer{Verdict: Running, Request: first.row.Request}, nil
	}
	a := h.shard.Claim(h.cfg.Now(), row)
	if a.Verdict != Granted {
		return a, nil
	}
	if h.down {
		return Answer{Verdict: Down}, nil
	}
	row.State = Claimed
	op := h.push(row)
	h.claims[row.Key] = op
	return Answer{}, op
}

// leave gives a claim up that is not durable; if it was just made durable, it is granted after all.
func (h *Holder) leave(op *operation) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-op.done:
		return Answer{Verdict: Granted}
	default:
	}
	op.gone = true
	return Answer{Verdict: Down}
}

// Settle logs the end of a request and waits up to wait for it to be durable.
func (h *Holder) Settle(ctx context.Context, key, request string, state State, body []byte, wait time.Duration) Answer {
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return Answer{Verdict: Moved}
	}
	row, ok := h.shard.Settle(key, request, state, body)
	if !ok {
		h.mu.Unlock()
		return Answer{Verdict: Missing}
	}
	op := h.push(row)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		h.mu.Lock()
		changed, lost := h.changed, h.lost
		h.mu.Unlock()
		if lost {
			return Answer{Verdict: Moved}
		}
		select {
		case <-op.done:
			return Answer{Verdict: Done}
		case <-changed:
		case <-ctx.Done():
			return Answer{Verdict: Down}
		}
	}
}

// Find says what is known of a key, waiting up to wait for one that runs.
func (h *Holder) Find(ctx context.Context, key string, wait time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		h.mu.Lock()
		changed, lost := h.changed, h.lost
		a := h.shard.Look(h.cfg.Now(), key)
		if _, ok := h.claims[key]; ok && a.Verdict == Missing {
			a = Answer{Verdict: Running}
		}
		h.mu.Unlock()
		if lost {
			return Answer{Verdict: Moved}
		}
		if a.Verdict != Running {
			return a
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return a
		}
	}
}

// clean rewrites what must be kept of the oldest segments, then deletes those.
func (h *Holder) clean(ctx context.Context) {
	h.mu.Lock()
	if len(h.segments) <= cleanAbove || h.down || h.lost {
		h.mu.Unlock()
		return
	}
	from, to := h.oldest, h.oldest+cleanBatch
	rows := h.keep(from, to)
	seq := h.seq + 1
	h.mu.Unlock()
	for _, part := range split(rows) {
		won, err := h.create(ctx, seq, Segment{Writer: h.cfg.Writer, Nonce: seq, Rows: part})
		if err != nil {
			// The write may have taken effect; the same segment is claimed or refused by the next flush.
			h.setDown(true)
			h.lose()
			return
		}
		if !won {
			h.lose()
			return
		}
		h.mu.Lock()
		h.apply(seq, nil)
		h.segments[seq] = keysOf(part)
		h.seq = seq
		h.mu.Unlock()
		seq++
	}
	h.remove(ctx, from, to)
}

func keysOf(rows []Row) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// keep lists the current rows of the keys that segments from up to to speak of.
func (h *Holder) keep(from, to uint64) []Row {
	now := h.cfg.Now()
	seen := map[string]bool{}
	var rows []Row
	for seq := from; seq < to; seq++ {
		for _, key := range h.segments[seq] {
			if seen[key] {
				continue
			}
			seen[key] = true
			if r, ok := h.shard.Current(now, key); ok {
				rows = append(rows, r)
			}
		}
	}
	h.shard.Forget(now)
	return rows
}

func split(rows []Row) [][]Row {
	var parts [][]Row
	size := MaxSegmentBytes
	for _, r := range rows {
		if size >= MaxSegmentBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], r)
		size += 200 + len(r.Body)*4/3
	}
	return parts
}

func (h *Holder) remove(ctx context.Context, from, to uint64) {
	for seq := from; seq < to; seq++ {
		name := SegmentName(h.cfg.Shard, seq)
		o, err := h.cfg.Store.Get(ctx, Kind, name)
		if err == nil {
			err = h.cfg.Store.Delete(ctx, Kind, name, o.Version)
		}
		if err != nil && !errors.Is(err, object.ErrMissing) {
			return
		}
		h.mu.Lock()
		delete(h.segments, seq)
		h.oldest = seq + 1
		h.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
