package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	writeBackoff = 100 * time.Millisecond
	// minSegments is the number of segments that a log may have before it is compacted, compactBatch at a time.
	minSegments  = 32
	compactBatch = 16
)

// HolderConfig configures the holder of one shard.
type HolderConfig struct {
	Shard  int
	Writer string
	Store  object.Store
	Now    func() time.Time
	// CommitInterval is the minimum time between two segments.
	CommitInterval time.Duration
	// ClaimTimeout is the maximum time that a claim waits to become durable.
	ClaimTimeout time.Duration
	Retention    time.Duration
	// Recover returns what former holders know of the shard, after each of them has stopped; it is called when the shard is opened
	// for the first time in an era. It may be nil.
	Recover func(ctx context.Context, era uint64) ([]Carry, error)
}

// Holder serves one shard and is the only writer of its log until another holder takes over.
type Holder struct {
	cfg HolderConfig

	mu       sync.Mutex
	shard    *Shard
	segments []logSegment
	pending  []*operation
	// pendingClaims holds the claims that are not durable yet, by key.
	pendingClaims map[string]*operation
	changed       chan struct{}
	wake          chan struct{}
	unavailable   bool
	lost          bool
	writes        int64
	// era and generation do not change after Open.
	era        uint64
	generation uint64
	// rowNumber is that of the last row that this holder has stamped.
	rowNumber uint64

	// The fields below belong to Open and then to Run.
	head        Head
	headVersion object.Version
	nonce       uint64
	// number is that of the last segment that this holder has named.
	number uint64
	// unused are objects that the head does not name and that are to be deleted, those unused for longest first.
	unused []logSegment
	// compactAbove is the number of segments above which the log is compacted.
	compactAbove int
}

type operation struct {
	row  Row
	done chan struct{}
	// abandoned is set when the claimer has stopped waiting.
	abandoned bool
}

// openCount distinguishes the holders that one process opens under the same name, even at the same moment.
var openCount atomic.Uint64

// Open takes over the shard: it reads the log, fences the former holder and begins to serve.
func Open(ctx context.Context, cfg HolderConfig) (*Holder, error) {
	cfg.Writer = fmt.Sprintf("%s#%d", cfg.Writer, openCount.Add(1))
	h := &Holder{
		cfg:           cfg,
		pendingClaims: map[string]*operation{},
		changed:       make(chan struct{}),
		wake:          make(chan struct{}, 1),
		compactAbove:  minSegments,
	}
	for {
		l, err := h.read(ctx)
		if err != nil {
			return nil, merry.Prependf(err, "open ledger shard %d", cfg.Shard)
		}
		h.load(l)
		taken, err := h.takeOver(ctx, l)
		if err != nil {
			return nil, merry.Prependf(err, "open ledger shard %d", cfg.Shard)
		}
		if taken {
			return h, nil
		}
	}
}

// takeOver writes the first head of this holder; false means that the log has to be read again.
func (h *Holder) takeOver(ctx context.Context, l storedLog) (bool, error) {
	segments, rows := h.segments, h.head.Rows
	if l.headEra < l.era || l.headVersion == 0 {
		lost, err := h.recoverRows(ctx, l)
		if err != nil {
			return false, err
		}
		rows = append(slices.Clip(rows), lost...)
	}
	if len(rows) > 0 && rowsSize(rows) > maxHeadBytes {
		for _, part := range splitRows(rows) {
			s, err := h.writeSegment(ctx, part)
			if err != nil {
				return false, err
			}
			segments = append(slices.Clip(segments), s)
		}
		rows = nil
	}
	taken, err := h.putHead(ctx, h.nextHead(segments, rows))
	if taken {
		h.segments = segments
	}
	return taken, err
}

// recoverRows asks the former holders for the rows that the log has lost with an older copy of the platform, and makes the log one
// without a head in this era.
func (h *Holder) recoverRows(ctx context.Context, l storedLog) ([]Row, error) {
	if l.headVersion != 0 {
		h.markUnused(logSegment{name: HeadName(h.cfg.Shard, l.headEra), version: l.headVersion})
		h.headVersion = 0
	}
	if h.cfg.Recover == nil || l.era == 0 {
		return nil, nil
	}
	carries, err := h.cfg.Recover(ctx, l.era)
	if err != nil {
		return nil, merry.Prepend(err, "ask former holders")
	}
	for _, c := range carries {
		h.head.Generation = max(h.head.Generation, c.Generation+1)
	}
	h.generation = h.head.Generation
	return addNewer(h.shard.rows, carries), nil
}

// read lists the log. A list that lacks a segment was read in parts while the former holder compacted the log; it is read
// again unless the head shows that nothing has changed.
func (h *Holder) read(ctx context.Context) (storedLog, error) {
	var last object.Version
	for {
		list, err := h.cfg.Store.List(ctx, Kind, namePrefix(h.cfg.Shard))
		if err != nil {
			return storedLog{}, err
		}
		l, err := parseLog(h.cfg.Shard, list)
		if err != nil || l.missing == "" {
			return l, err
		}
		if l.headVersion == last {
			return storedLog{}, merry.Errorf("segment %s is missing", l.missing)
		}
		last = l.headVersion
	}
}

func (h *Holder) load(l storedLog) {
	h.head, h.headVersion = l.head, l.headVersion
	h.head.Generation++
	h.era, h.generation = l.era, h.head.Generation
	h.segments, h.unused = l.segments, nil
	h.markUnused(l.unused...)
	h.shard = NewShard(h.cfg.Retention)
	for _, r := range l.rows {
		h.shard.Apply(r)
	}
	h.shard.DropExpired(h.cfg.Now())
}

// Lost reports whether another node has taken over the shard or this holder has given it up.
func (h *Holder) Lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// WriteCount returns the number of heads and segments sent to the platform.
func (h *Holder) WriteCount() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writes
}

func (h *Holder) countWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes++
}

// Claim claims the key of row for its request; it returns Granted only once the claim is durable.
func (h *Holder) Claim(ctx context.Context, row Row) Result {
	h.mu.Lock()
	res, op := h.claim(row)
	h.mu.Unlock()
	if op == nil {
		return res
	}
	timeout := time.NewTimer(h.cfg.ClaimTimeout)
	defer timeout.Stop()
	for {
		h.mu.Lock()
		changed, lost, unavailable := h.changed, h.lost, h.unavailable
		h.mu.Unlock()
		select {
		case <-op.done:
			return Result{Status: Granted}
		default:
		}
		switch {
		case lost:
			return Result{Status: NotHolder}
		case unavailable:
			return h.abandon(op)
		}
		select {
		case <-op.done:
		case <-changed:
		case <-ctx.Done():
			return h.abandon(op)
		case <-timeout.C:
			return h.abandon(op)
		}
	}
}

// claim decides on a claim while the lock is held; it returns an operation if the claim must become durable first.
func (h *Holder) claim(row Row) (Result, *operation) {
	if h.lost {
		return Result{Status: NotHolder}, nil
	}
	if pending, ok := h.pendingClaims[row.Key]; ok {
		if pending.row.Digest != row.Digest {
			return Result{Status: KeyReused}, nil
		}
		if pending.abandoned {
			return Result{Status: Unavailable}, nil
		}
		if pending.row.RequestID == row.RequestID {
			return Result{}, pending
		}
		return Result{Status: Running, RequestID: pending.row.RequestID}, nil
	}
	res := h.shard.Claim(h.cfg.Now(), row)
	if res.Status != Granted {
		return res, nil
	}
	if h.unavailable {
		return Result{Status: Unavailable}, nil
	}
	row.State = Claimed
	op := h.enqueue(row)
	h.pendingClaims[row.Key] = op
	return Result{}, op
}

// abandon gives up a claim that is not durable; a claim that has just become durable is granted after all.
func (h *Holder) abandon(op *operation) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-op.done:
		return Result{Status: Granted}
	default:
	}
	op.abandoned = true
	return Result{Status: Unavailable}
}

// Settle logs the outcome of a request and waits up to wait for it to become durable.
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
	op := h.enqueue(row)
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

// Find returns what is known of a key; it waits up to wait for a running request to end.
func (h *Holder) Find(ctx context.Context, key string, wait time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		h.mu.Lock()
		changed, lost := h.changed, h.lost
		res := h.shard.Lookup(h.cfg.Now(), key)
		if _, ok := h.pendingClaims[key]; ok && res.Status == NotFound {
			res = Result{Status: Running}
		}
		h.mu.Unlock()
		if lost {
			return Result{Status: NotHolder}
		}
		if res.Status != Running {
			return res
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return res
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
