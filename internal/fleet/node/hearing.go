package node

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quorum"
)

// hearing is when the node last heard the platform and each peer.
type hearing struct {
	mu       sync.Mutex
	platform time.Time
	peers    map[string]time.Time
	places   map[string]time.Time
	// told is when each peer was last sent the rows that had changed lately.
	told map[string]time.Time
}

func (h *hearing) init(now time.Time) {
	h.platform = now
	h.peers = map[string]time.Time{}
	h.places = map[string]time.Time{}
	h.told = map[string]time.Time{}
}

// sentLately tells whether a peer was sent the latest rows a moment ago, and notes that it is now.
func (h *hearing) sentLately(now time.Time, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	again := now.Sub(h.told[name]) < tableEvery
	h.told[name] = now
	return again
}

// fresh notes that the release in force was the platform's own at that time.
func (h *hearing) fresh(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.platform) {
		h.platform = at
	}
}

func (h *hearing) freshest() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.platform
}

func (h *hearing) peer(now time.Time, name, datacentre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[name] = now
	h.places[datacentre] = now
}

// drop forgets a node that is long gone.
func (h *hearing) drop(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, name)
	delete(h.told, name)
}

func (h *hearing) last(name string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[name]
}

// open tells whether the node hears enough of the fleet to take new work.
func (n *Node) open(now time.Time) bool {
	t := n.table.Load()
	own := n.cfg.Settings.Datacentre
	n.hearing.mu.Lock()
	defer n.hearing.mu.Unlock()
	if now.Sub(n.hearing.platform) <= n.cfg.Settings.Timing.IsolationTimeout.Duration() {
		return true
	}
	view := quorum.Contacts{PlatformSeen: n.hearing.platform, DatacentresSeen: map[string]time.Time{}, LocalDatacentre: own, OnlyNode: true}
	for _, d := range t.Datacentres() {
		view.DatacentresSeen[d] = n.hearing.places[d]
	}
	for _, name := range t.LiveIn(own) {
		if name != n.Name() {
			view.OnlyNode = false
		}
	}
	return view.HasQuorum(now, n.cfg.Settings.Timing.IsolationTimeout.Duration())
}
