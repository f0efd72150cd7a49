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

// Record adds the notices of one response, which are all that it says; err is set if it has a value that cannot be used.
func (k *Keeper) Record(now time.Time, t Target, list []Notice, err error) {
	if err != nil {
		k.cfg.OnInvalid(t, err)
	}
	isLimited := false
	for _, n := range list {
		if _, ok := n.(Limit); ok {
			isLimited = true
		}
		k.add(now, t, n, FromTarget)
	}
	if !isLimited && err == nil {
		k.add(now, t, Unlimited{}, FromTarget)
	}
}

// Learn adds targets that said to another node that they leave.
func (k *Keeper) Learn(now time.Time, leaving []Target) {
	for _, t := range leaving {
		k.add(now, t, Leaving{}, FromNode)
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

// Recorder takes the notices of one response; err is set if the response has a value that cannot be used.
type Recorder func(list []Notice, err error)
