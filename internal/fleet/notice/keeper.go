package notice

import (
	"sync"
	"time"
)

// Source says how a node learned of a notice.
type Source string

// The sources of notices.
const (
	// FromTarget notices came with a response to this node.
	FromTarget Source = "target"
	// FromNode notices were passed on by another node.
	FromNode Source = "node"
	// FromAge notices are ends of limits that no response has repeated.
	FromAge Source = "age"
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// OnNotice is called after a notice that says anything new has been recorded.
	OnNotice func(now time.Time, t Target, n Notice, from Source)
	// OnInvalid is called with the reason why a value of a response cannot be used.
	OnInvalid func(t Target, err error)
}

// Keeper holds the current board of a node.
type Keeper struct {
	cfg   KeeperConfig
	mu    sync.Mutex
	board Board
}

// NewKeeper returns a keeper with an empty board.
func NewKeeper(cfg KeeperConfig) *Keeper { return &Keeper{cfg: cfg} }

// Board returns the current board.
func (k *Keeper) Board() Board {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.board
}

// Response is what the header of one response says of its target.
type Response struct {
	// SentAt is when the request was sent, or earlier.
	SentAt time.Time
	// Notices are all that the header says.
	Notices []Notice
	// Err is set if the header has a value that cannot be used.
	Err error
}

// Record adds the notices of a response that was received at now.
func (k *Keeper) Record(now time.Time, t Target, r Response) {
	if r.Err != nil {
		k.cfg.OnInvalid(t, r.Err)
	}
	limit := Unlimited
	for _, n := range r.Notices {
		if l, ok := n.(Limit); ok {
			limit = l
			continue
		}
		k.add(now, t, n, FromTarget)
	}
	// A response with a value that cannot be used may have named a limit.
	if limit.IsSet() || r.Err == nil {
		k.addLimit(now, LimitReport{Target: t, Limit: limit, SentAt: r.SentAt, HeardAt: now}, FromTarget)
	}
}

// Learn adds targets that said to another node that they leave, and limits that they named to it.
func (k *Keeper) Learn(now time.Time, leaving []Target, limits []LimitReport) {
	for _, t := range leaving {
		k.add(now, t, Leaving{}, FromNode)
	}
	for _, r := range limits {
		k.addLimit(now, r, FromNode)
	}
}

// DropExpired drops the limits that no response has repeated for long.
func (k *Keeper) DropExpired(now time.Time) {
	k.mu.Lock()
	board, expired := k.board.ExpiredLimits(now)
	k.board = board
	k.mu.Unlock()
	for _, t := range expired {
		k.cfg.OnNotice(now, t, Unlimited, FromAge)
	}
}

func (k *Keeper) add(now time.Time, t Target, n Notice, from Source) {
	k.mu.Lock()
	board, isNew := k.board.With(now, t, n)
	k.board = board
	k.mu.Unlock()
	if isNew {
		k.cfg.OnNotice(now, t, n, from)
	}
}

func (k *Keeper) addLimit(now time.Time, r LimitReport, from Source) {
	k.mu.Lock()
	board, isNew := k.board.WithLimit(now, r)
	k.board = board
	k.mu.Unlock()
	if isNew {
		k.cfg.OnNotice(now, r.Target, board.Limit(now, r.Target), from)
	}
}

// Recorder takes what the header of one response says.
type Recorder func(list []Notice, err error)
