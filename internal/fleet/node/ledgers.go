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
	claimPatience = time.Second
	ledgerTries   = 8
	ledgerPause   = 50 * time.Millisecond
	ledgerTimeout = 2 * time.Second
	settleFor     = 10 * time.Minute
	standIns      = 2
)

// ledgers holds the shards that this node serves.
type ledgers struct {
	node *Node
	mu   sync.Mutex
	open map[int]*heldShard
	runs sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

type heldShard struct {
	ready  chan struct{}
	holder *ledger.Holder
	err    error
}

// lost tells whether the shard was opened and has been taken over since.
func (h *heldShard) lost() bool {
	select {
	case <-h.ready:
		return h.holder != nil && h.holder.Lost()
	default:
		return false
	}
}

func newLedgers(n *Node) *ledgers {
	ctx, stop := context.WithCancel(context.Background())
	return &ledgers{node: n, open: map[int]*heldShard{}, ctx: ctx, stop: stop}
}

func (l *ledgers) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *ledgers) shard(key string) int {
	return int(xxhash.Sum64String(key) % uint64(l.node.cfg.Settings.Ledger.Shards))
}

// ranked orders the nodes that may serve a shard.
func (l *ledgers) ranked(shard int) []string {
	t := l.node.table.Load()
	var nodes []string
	for _, name := range t.Live() {
		if m, _ := t.Get(name); !l.node.out(m.Datacentre) {
			nodes = append(nodes, name)
		}
	}
	if len(nodes) == 0 {
		nodes = t.Live()
	}
	return rendezvous.Rank("ledger/"+strconv.Itoa(shard), nodes)
}

// holder gives the shard's holder, opening it if need be.
func (l *ledgers) holder(ctx context.Context, shard int) (*ledger.Holder, error) {
	l.mu.Lock()
	h, ok := l.open[shard]
	if !ok || h.lost() {
		h = &heldShard{ready: make(chan struct{})}
		l.open[shard] = h
		l.runs.Add(1)
		go l.serve(shard, h)
	}
	l.mu.Unlock()
	select {
	case <-h.ready:
		return h.holder, h.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *ledgers) serve(shard int, h *heldShard) {
	defer l.runs.Done()
	n := l.node
	ctx, cancel := context.WithTimeout(l.ctx, ledgerTimeout)
	holder, err := ledger.Open(ctx, ledger.HolderConfig{
		Shard:          shard,
		Writer:         fmt.Sprintf("%s/%d/%d", n.Name(), n.Self().Generation, n.cfg.Now().UnixNano()),
		Store:          n.cfg.Platform,
		Now:            n.cfg.Now,
		CommitInterval: n.cfg.Settings.Ledger.CommitInterval.Duration(),
		ClaimTimeout:   claimPatience,
		Retention:      n.cfg.Settings.Ledger.Retention.Duration(),
	})
	cancel()
	h.holder, h.err = holder, err
	if err != nil {
		l.forget(shard, h)
		close(h.ready)
		return
	}
	n.log.With("shard", shard).Info("ledger shard is held here")
	close(h.ready)
	holder.Run(l.ctx)
	l.forget(shard, h)
}

func (l *ledgers) forget(shard int, h *heldShard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[shard] == h {
		delete(l.open, shard)
	}
}

// close gives every shard up, after what is pending was written.
func (l *ledgers) close() {
	l.stop()
	l.runs.Wait()
}

// here runs an operation on a shard that this node may serve.
func (l *ledgers) here(ctx context.Context, key string, run func(*ledger.Holder) ledger.Result) *peerpb.LedgerReply {
	shard := l.shard(key)
	ranked := l.ranked(shard)
	if !contains(ranked[:min(standIns, len(ranked))], l.node.Name()) {
		return &peerpb.LedgerReply{Verdict: string(ledger.NotHolder)}
	}
	h, err := l.holder(ctx, shard)
	if err != nil {
		return &peerpb.LedgerReply{Verdict: string(ledger.Unavailable)}
	}
	a := run(h)
	return &peerpb.LedgerReply{Verdict: string(a.Status), Request: a.RequestID, Body: a.Body}
}

func (n *Node) claimHere(ctx context.Context, r *peerpb.ClaimRequest) *peerpb.LedgerReply {
	now := n.cfg.Now()
	row := ledger.Row{
		Key:         r.Key,
		BodyHash:    r.Digest,
		RequestID:   r.Request,
		ClaimedAtMs: now.UnixMilli(),
		ExpiresAtMs: now.Add(time.Duration(r.RemainingUs) * time.Microsecond).UnixMilli(),
	}
	return n.ledgers.here(ctx, r.Key, func(h *ledger.Holder) ledger.Result { return h.Claim(ctx, row) })
}

func (n *Node) settleHere(ctx context.Context, r *peerpb.SettleRequest) *peerpb.LedgerReply {
	wait := time.Duration(r.WaitUs) * time.Microsecond
	return n.ledgers.here(ctx, r.Key, func(h *ledger.Holder) ledger.Result {
		return h.Settle(ctx, r.Key, r.Request, ledger.State(r.State), r.Body, wait)
	})
}

func (n *Node) findHere(ctx context.Context, r *peerpb.FindRequest) *peerpb.LedgerReply {
	wait := time.Duration(r.WaitUs) * time.Microsecond
	return n.ledgers.here(ctx, r.Key, func(h *ledger.Holder) ledger.Result { return h.Find(ctx, r.Key, wait) })
}

// Claim serves a peer's claim.
func (n *Node) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.LedgerReply, error) {
	return n.claimHere(ctx, r), nil
}

// Settle serves a peer's end of a claim.
func (n *Node) Settle(ctx context.Context, r *peerpb.SettleRequest) (*peerpb.LedgerReply, error) {
	return n.settleHere(ctx, r), nil
}

// Find serves a peer's look-up of a key.
func (n *Node) Find(ctx context.Context, r *peerpb.FindRequest) (*peerpb.LedgerReply, error) {
	return n.findHere(ctx, r), nil
}

// callLedger asks the shard's holder, and the next in rank where the first cannot be reached.
func (n *Node) callLedger(ctx context.Context, key string, here func() *peerpb.LedgerReply, there func(peerpb.PeerClient) (*peerpb.LedgerReply, error)) ledger.Result {
	down := ledger.Result{Status: ledger.Unavailable}
	skip := 0
	for range ledgerTries {
		ranked := n.ledgers.ranked(n.ledgers.shard(key))
		if len(ranked) == 0 || ctx.Err() != nil {
			return down
		}
		name := ranked[skip%min(standIns, len(ranked))]
		reply, err := n.askLedger(name, here, there)
		if err == nil && reply.Verdict != string(ledger.NotHolder) {
			return ledger.Result{Status: ledger.Status(reply.Verdict), RequestID: reply.Request, Body: reply.Body}
		}
		if err != nil {
			skip++
		}
		pause(ctx, ledgerPause)
	}
	return down
}

func (n *Node) askLedger(name string, here func() *peerpb.LedgerReply, there func(peerpb.PeerClient) (*peerpb.LedgerReply, error)) (*peerpb.LedgerReply, error) {
	if name == n.Name() {
		return here(), nil
	}
	m, ok := n.table.Load().Get(name)
	if !ok {
		return nil, ErrUnknownRequest
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	return there(client)
}

// fleetView is what the node's entry sees of the fleet.
type fleetView struct{ *Node }

// Work runs one attempt at a node.
func (f fleetView) Work(ctx context.Context, node string, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) error {
	return f.callWork(ctx, node, w, on)
}

// Cancel gives an attempt up at a node and tells whether it had been sent.
func (f fleetView) Cancel(ctx context.Context, node string, w *peerpb.WorkRequest, began time.Time) (bool, error) {
	return f.callCancel(ctx, node, w, began)
}

// Claim asks the shard's holder for the right to run.
func (f fleetView) Claim(ctx context.Context, row ledger.Row, _ time.Duration) ledger.Result {
	r := &peerpb.ClaimRequest{
		Key:         row.Key,
		Digest:      row.BodyHash,
		Request:     row.RequestID,
		RemainingUs: (row.ExpiresAtMs - row.ClaimedAtMs) * int64(time.Millisecond/time.Microsecond),
	}
	a := f.callLedger(ctx, row.Key,
		func() *peerpb.LedgerReply { return f.claimHere(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return timed(ctx, r, c.Claim) })
	if a.Status == ledger.Unavailable {
		// The claim may yet become durable; it is made void in the background so that the key stays free.
		go f.settleLater(&peerpb.SettleRequest{Key: row.Key, Request: row.RequestID, State: string(ledger.Void)})
	}
	return a
}

// Settle records how a claimed request ended; what cannot be recorded in time is retried in the background.
func (f fleetView) Settle(ctx context.Context, key, id string, state ledger.State, body []byte, wait time.Duration) ledger.Result {
	r := &peerpb.SettleRequest{Key: key, Request: id, State: string(state), Body: body, WaitUs: wait.Microseconds()}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a := f.settleOnce(ctx, r)
	if a.Status == ledger.Unavailable || a.Status == ledger.NotHolder {
		go f.settleLater(r)
	}
	return a
}

func (f fleetView) settleOnce(ctx context.Context, r *peerpb.SettleRequest) ledger.Result {
	return f.callLedger(ctx, r.Key,
		func() *peerpb.LedgerReply { return f.settleHere(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return timed(ctx, r, c.Settle) })
}

// settleLater goes on recording through an outage of the platform.
func (f fleetView) settleLater(r *peerpb.SettleRequest) {
	end := f.cfg.Now().Add(settleFor)
	for f.cfg.Now().Before(end) && f.ledgers.ctx.Err() == nil {
		pause(f.ledgers.ctx, ledgerTimeout)
		ctx, cancel := context.WithTimeout(f.ledgers.ctx, ledgerTimeout)
		a := f.settleOnce(ctx, r)
		cancel()
		if a.Status == ledger.Done || a.Status == ledger.NotFound {
			return
		}
	}
}

// Find looks a key up, waiting for one that runs.
func (f fleetView) Find(ctx context.Context, key string, wait time.Duration) ledger.Result {
	ctx, cancel := context.WithTimeout(ctx, wait+ledgerTimeout)
	defer cancel()
	r := &peerpb.FindRequest{Key: key, WaitUs: wait.Microseconds()}
	return f.callLedger(ctx, key,
		func() *peerpb.LedgerReply { return f.findHere(ctx, r) },
		func(c peerpb.PeerClient) (*peerpb.LedgerReply, error) { return c.Find(ctx, r) })
}

func decodeRecord(data []byte) (outcome.Record, error) {
	var r outcome.Record
	err := json.Unmarshal(data, &r)
	return r, err
}

func encodeRecord(r outcome.Record) ([]byte, error) { return json.Marshal(r) }

// timed runs a call between nodes under the ledger's time-out.
func timed[Q, A any](ctx context.Context, q Q, call func(context.Context, Q, ...grpc.CallOption) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	return call(ctx, q)
}
