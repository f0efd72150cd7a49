package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const (
	claimTimeout        = time.Second
	maxLedgerTries      = 8
	ledgerRetryInterval = 50 * time.Millisecond
	ledgerTimeout       = 2 * time.Second
	settleRetryTime     = 10 * time.Minute
	shardCandidates     = 2
)

// ledgers holds the ledger shards that this node serves.
type ledgers struct {
	node   *Node
	mu     sync.Mutex
	shards map[int]*heldShard
	// carries holds what this node's former holders knew, by shard.
	carries map[int]ledger.Carry
	running sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// heldShard is a shard that is being opened until ready is closed; then either holder or err is set.
type heldShard struct {
	// era is the latest one that the node knew when it began to open the shard.
	era    uint64
	ready  chan struct{}
	holder *ledger.Holder
	err    error
}

// isOpening reports whether the shard is being opened.
func (h *heldShard) isOpening() bool {
	select {
	case <-h.ready:
		return false
	default:
		return true
	}
}

// isLost reports whether the shard was opened and has been taken over by another node since.
func (h *heldShard) isLost() bool {
	select {
	case <-h.ready:
		return h.holder != nil && h.holder.Lost()
	default:
		return false
	}
}

func newLedgers(n *Node) *ledgers {
	ctx, stop := context.WithCancel(context.Background())
	return &ledgers{node: n, shards: map[int]*heldShard{}, carries: map[int]ledger.Carry{}, ctx: ctx, stop: stop}
}

func (l *ledgers) heldCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.shards)
}

func (l *ledgers) shardOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(l.node.cfg.Settings.Ledger.Shards))
}

// rankedNodes ranks the live nodes for a shard, of which the first shardCandidates may serve it. Nodes in data centres
// that are out of service count only if there are no others.
func (l *ledgers) rankedNodes(shard int) []string {
	t := l.node.table.Load()
	var nodes []string
	for _, name := range t.Live() {
		if m, _ := t.Get(name); !l.node.isOutOfService(m.Datacentre) {
			nodes = append(nodes, name)
		}
	}
	if len(nodes) == 0 {
		nodes = t.Live()
	}
	return rendezvous.Rank("ledger/"+strconv.Itoa(shard), nodes)
}

// holder returns the shard's holder and opens it if necessary.
func (l *ledgers) holder(ctx context.Context, shard int) (*ledger.Holder, error) {
	l.mu.Lock()
	h, ok := l.shards[shard]
	if !ok || h.isLost() {
		if ok {
			l.keepLocked(shard, h.holder)
		}
		h = &heldShard{era: l.node.era.latest(), ready: make(chan struct{})}
		l.shards[shard] = h
		l.running.Add(1)
		go l.serveShard(shard, h)
	}
	l.mu.Unlock()
	select {
	case <-h.ready:
		return h.holder, h.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *ledgers) serveShard(shard int, h *heldShard) {
	defer l.running.Done()
	n := l.node
	ctx, cancel := context.WithTimeout(l.ctx, ledgerTimeout)
	holder, err := ledger.Open(ctx, ledger.HolderConfig{
		Shard:          shard,
		Writer:         fmt.Sprintf("%s/%d/%d", n.Name(), n.Self().Generation, n.cfg.Now().UnixNano()),
		Store:          n.cfg.Platform,
		Now:            n.cfg.Now,
		CommitInterval: n.cfg.Settings.Ledger.CommitInterval.Duration(),
		ClaimTimeout:   claimTimeout,
		Retention:      n.cfg.Settings.Ledger.Retention.Duration(),
		Recover:        func(ctx context.Context, era uint64) ([]ledger.Carry, error) { return l.recoverRows(ctx, shard, era) },
	})
	cancel()
	h.holder, h.err = holder, err
	if err != nil {
		l.removeShard(shard, h)
		close(h.ready)
		return
	}
	n.log.With("shard", shard).Info("opened ledger shard")
	close(h.ready)
	// An era that began meanwhile did not find this holder.
	l.suspend(n.era.latest())
	holder.Run(l.ctx)
	l.removeShard(shard, h)
}

// removeShard ends the holder of a shard, if there is one, and keeps what it knows.
func (l *ledgers) removeShard(shard int, h *heldShard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards[shard] != h {
		return
	}
	if h.holder != nil {
		l.keepLocked(shard, h.holder)
	}
	delete(l.shards, shard)
}

// close closes every shard after its pending rows were written.
func (l *ledgers) close() {
	l.stop()
	l.running.Wait()
}

// runLocal runs an operation on the key's shard if this node may serve it.
func (l *ledgers) runLocal(ctx context.Context, key string, run func(*ledger.Holder) ledger.Result) *peerpb.LedgerReply {
	shard := l.shardOf(key)
	ranked := l.rankedNodes(shard)
	if !contains(ranked[:min(shardCandidates, len(ranked))], l.node.Name()) {
		return &peerpb.LedgerReply{Verdict: string(ledger.NotHolder)}
	}
	h, err := l.holder(ctx, shard)
	if err != nil {
		return &peerpb.LedgerReply{Verdict: string(ledger.Unavailable)}
	}
	result := run(h)
	return &peerpb.LedgerReply{Verdict: string(result.Status), Request: result.RequestID, Body: result.Body}
}

func (n *Node) claimLocal(ctx context.Context, r *peerpb.ClaimRequest) *peerpb.LedgerReply {
	now := n.cfg.Now()
	row := ledger.Row{
		Key:         r.Key,
		Digest:      r.Digest,
		RequestID:   r.Request,
		ClaimedAtMs: now.UnixMilli(),
		ExpiresAtMs: now.Add(time.Duration(r.RemainingUs) * time.Microsecond).UnixMilli(),
	}
	return n.ledgers.runLocal(ctx, r.Key, func(h *ledger.Holder) ledger.Result { return h.Claim(ctx, row) })
}

func (n *Node) settleLocal(ctx context.Context, r *peerpb.SettleRequest) *peerpb.LedgerReply {
	wait := time.Duration(r.WaitUs) * time.Microsecond
	return n.ledgers.runLocal(ctx, r.Key, func(h *ledger.Holder) ledger.Result {
		return h.Settle(ctx, r.Key, r.Request, ledger.State(r.State), r.Body, wait)
	})
}

func (n *Node) findLocal(ctx context.Context, r *peerpb.FindRequest) *peerpb.LedgerReply {
	wait := time.Duration(r.WaitUs) * time.Microsecond
	return n.ledgers.runLocal(ctx, r.Key, func(h *ledger.Holder) ledger.Result { return h.Find(ctx, r.Key, wait) })
}

// Claim serves a peer's claim of a key.
func (n *Node) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.LedgerReply, error) {
	return n.claimLocal(ctx, r), nil
}

// Settle serves a peer's settlement of a claim.
func (n *Node) Settle(ctx context.Context, r *peerpb.SettleRequest) (*peerpb.LedgerReply, error) {
	return n.settleLocal(ctx, r), nil
}

// Find serves a peer's lookup of a key.
func (n *Node) Find(ctx context.Context, r *peerpb.FindRequest) (*peerpb.LedgerReply, error) {
	return n.findLocal(ctx, r), nil
}

// askHolders asks the holder of the key's shard, and the next in rank if the first is unreachable.
func (n *Node) askHolders(ctx context.Context, key string, local func() *peerpb.LedgerReply, remote func(peerpb.PeerClient) (*peerpb.LedgerReply, error)) ledger.Result {
	unavailable := ledger.Result{Status: ledger.Unavailable}
	failures := 0
	for range maxLedgerTries {
		ranked := n.ledgers.rankedNodes(n.ledgers.shardOf(key))
		if len(ranked) == 0 || ctx.Err() != nil {
			return unavailable
		}
		name := ranked[failures%min(shardCandidates, len(ranked))]
		reply, err := n.askHolder(name, local, remote)
		if err == nil && reply.Verdict != string(ledger.NotHolder) {
			return ledger.Result{Status: ledger.Status(reply.Verdict), RequestID: reply.Request, Body: reply.Body}
		}
		if err != nil {
			failures++
		}
		sleep(ctx, ledgerRetryInterval)
	}
	return unavailable
}

func (n *Node) askHolder(name string, local func() *peerpb.LedgerReply, remote func(peerpb.PeerClient) (*peerpb.LedgerReply, error)) (*peerpb.LedgerReply, error) {
	if name == n.Name() {
		return local(), nil
	}
	m, ok := n.table.Load().Get(name)
	if !ok {
		return nil, ErrUnknownRequest
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	return remote(client)
}

// fleetView is the fleet as the node's coordinator uses it.
type fleetView struct{ *Node }

// Work runs one attempt through a node.
func (f fleetView) Work(ctx context.Context, node string, w *peerpb.WorkRequest, onEvent func(*peerpb.WorkEvent) error) error {
	return f.sendWork(ctx, node, w, onEvent)
}

// Cancel cancels an attempt at a node and reports whether it had been sent.
func (f fleetView) Cancel(ctx context.Context, node string, w *peerpb.WorkRequest, startedAt time.Time) (bool, error) {
	return f.sendCancel(ctx, node, w, startedAt)
}

// Claim claims a key at the holder of its shard.
func (f fleetView) Claim(ctx context.Context, row ledger.Row, _ time.Duration) ledger.Result {
	r := &peerpb.ClaimRequest{
		Key:         row.Key,
		Digest:      row.Digest,
		Request:     row.RequestID,
		RemainingUs: (row.ExpiresAtMs - row.ClaimedAtMs) * int64(time.Millisecond/time.Microsecond),
	}
	result := f.askHolders(ctx, row.Key,
		func() *peerpb.LedgerReply { return f.claimLocal(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return withLedgerTimeout(ctx, r, c.Claim) })
	if result.Status == ledger.Unavailable {
		// The claim may still become durable; it is made void in the background so that the key stays free.
		go f.settleInBackground(&peerpb.SettleRequest{Key: row.Key, Request: row.RequestID, State: string(ledger.Void)})
	}
	return result
}

// Settle records how a claimed request ended; if that does not succeed in time, it is retried in the background.
func (f fleetView) Settle(ctx context.Context, key, id string, state ledger.State, body []byte, wait time.Duration) ledger.Result {
	r := &peerpb.SettleRequest{Key: key, Request: id, State: string(state), Body: body, WaitUs: wait.Microseconds()}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	result := f.settleOnce(ctx, r)
	if result.Status == ledger.Unavailable || result.Status == ledger.NotHolder {
		go f.settleInBackground(r)
	}
	return result
}

func (f fleetView) settleOnce(ctx context.Context, r *peerpb.SettleRequest) ledger.Result {
	return f.askHolders(ctx, r.Key,
		func() *peerpb.LedgerReply { return f.settleLocal(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return withLedgerTimeout(ctx, r, c.Settle) })
}

// settleInBackground retries a settlement through an outage of the platform.
func (f fleetView) settleInBackground(r *peerpb.SettleRequest) {
	end := f.cfg.Now().Add(settleRetryTime)
	for f.cfg.Now().Before(end) && f.ledgers.ctx.Err() == nil {
		sleep(f.ledgers.ctx, ledgerTimeout)
		ctx, cancel := context.WithTimeout(f.ledgers.ctx, ledgerTimeout)
		result := f.settleOnce(ctx, r)
		cancel()
		if result.Status == ledger.Done || result.Status == ledger.NotFound {
			return
		}
	}
}

// Find looks up a key and waits for its request if that still runs.
func (f fleetView) Find(ctx context.Context, key string, wait time.Duration) ledger.Result {
	ctx, cancel := context.WithTimeout(ctx, wait+ledgerTimeout)
	defer cancel()
	r := &peerpb.FindRequest{Key: key, WaitUs: wait.Microseconds()}
	return f.askHolders(ctx, key,
		func() *peerpb.LedgerReply { return f.findLocal(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return c.Find(ctx, r) })
}

func decodeRecord(data []byte) (outcome.Record, error) {
	var r outcome.Record
	err := json.Unmarshal(data, &r)
	return r, err
}

func encodeRecord(r outcome.Record) ([]byte, error) { return json.Marshal(r) }

// withLedgerTimeout runs a call to a peer under ledgerTimeout.
func withLedgerTimeout[Q, A any](ctx context.Context, q Q, call func(context.Context, Q, ...grpc.CallOption) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	return call(ctx, q)
}
