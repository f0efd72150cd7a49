package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
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
	// CommitInterval is the least time between two segments.
	CommitInterval time.Duration
	// ClaimTimeout is how long a claim waits to become durable.
	ClaimTimeout time.Duration
	Retention    time.Duration
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
	nonce   uint64
}

type operation struct {
	row  Row
	done chan struct{}
	// gone is set by a claimer that waits no longer.
	gone bool
}

// opens tells apart holders that one process opens under one name, even at the same moment.
var opens atomic.Uint64

// Open takes the shard over: it fences the former holder, reads the log and begins to serve.
func Open(ctx context.Context, cfg HolderConfig) (*Holder, error) {
	cfg.Writer = fmt.Sprintf("%s#%d", cfg.Writer, opens.Add(1))
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
		won, err := h.create(ctx, h.seq+1, h.segment(nil))
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
	h.shard = NewShard(h.cfg.Retention)
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
	h.shard.DropExpired(h.cfg.Now())
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

// Lost tells that another node has taken the shard over, or that this one gave it up.
func (h *Holder) Lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// WriteCount is how many segments were sent to the platform.
func (h *Holder) WriteCount() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writes
}

// Claim asks to run the request of row; Granted is given only once the claim is durable.
func (h *Holder) Claim(ctx context.Context, row Row) Result {
	h.mu.Lock()
	a, op := h.claim(row)
	h.mu.Unlock()
	if op == nil {
		return a
	}
	patience := time.NewTimer(h.cfg.ClaimTimeout)
	defer patience.Stop()
	for {
		h.mu.Lock()
		changed, lost, down := h.changed, h.lost, h.down
		h.mu.Unlock()
		select {
		case <-op.done:
			return Result{Status: Granted}
		default:
		}
		switch {
		case lost:
			return Result{Status: NotHolder}
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
func (h *Holder) claim(row Row) (Result, *operation) {
	if h.lost {
		return Result{Status: NotHolder}, nil
	}
	if first, ok := h.claims[row.Key]; ok {
		if first.row.BodyHash != row.BodyHash {
			return Result{Status: KeyReused}, nil
		}
		if first.gone {
			return Result{Status: Unavailable}, nil
		}
		if first.row.RequestID == row.RequestID {
			return Result{}, first
		}
		return Result{Status: Running, RequestID: first.row.RequestID}, nil
	}
	a := h.shard.Claim(h.cfg.Now(), row)
	if a.Status != Granted {
		return a, nil
	}
	if h.down {
		return Result{Status: Unavailable}, nil
	}
	row.State = Claimed
	op := h.push(row)
	h.claims[row.Key] = op
	return Result{}, op
}

// leave gives a claim up that is not durable; if it was just made durable, it is granted after all.
func (h *Holder) leave(op *operation) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-op.done:
		return Result{Status: Granted}
	default:
	}
	op.gone = true
	return Result{Status: Unavailable}
}

// Settle logs the end of a request and waits up to wait for it to be durable.
func (h *Holder) Settle(ctx context.Context, key, request string, state State, body []byte, wait time.Duration) Result {
	h.mu.Lock()
	if h.lost {
		h.mu.Unlock()
		return Result{Status: NotHolder}
	}
	row, ok := h.shard.Settle(key, request, state, body)
	if !ok {
		h.mu.Unlock()
		return Result{Status: NotFound}
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
			return Result{Status: NotHolder}
		}
		select {
		case <-op.done:
			return Result{Status: Done}
		case <-changed:
		case <-ctx.Done():
			return Result{Status: Unavailable}
		}
	}
}

// Find says what is known of a key, waiting up to wait for one that runs.
func (h *Holder) Find(ctx context.Context, key string, wait time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		h.mu.Lock()
		changed, lost := h.changed, h.lost
		a := h.shard.Lookup(h.cfg.Now(), key)
		if _, ok := h.claims[key]; ok && a.Status == NotFound {
			a = Result{Status: Running}
		}
		h.mu.Unlock()
		if lost {
			return Result{Status: NotHolder}
		}
		if a.Status != Running {
			return a
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return a
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
