package node

import (
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quorum"
)

// contacts records when the node was last in contact with the platform, each data centre and each peer.
type contacts struct {
	mu          sync.Mutex
	platform    time.Time
	peers       map[string]time.Time
	datacentres map[string]time.Time
	// rowsSentAt is when each peer was last sent member rows.
	rowsSentAt map[string]time.Time
}

func (c *contacts) init(now time.Time) {
	c.platform = now
	c.peers = map[string]time.Time{}
	c.datacentres = map[string]time.Time{}
	c.rowsSentAt = map[string]time.Time{}
}

// markRowsSent reports whether a peer was sent rows within fullTableWindow, and records that it is sent some now.
func (c *contacts) markRowsSent(now time.Time, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentBefore := now.Sub(c.rowsSentAt[name]) < fullTableWindow
	c.rowsSentAt[name] = now
	return sentBefore
}

// recordPlatform records that the active release was the platform's current one at the given time.
func (c *contacts) recordPlatform(seenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seenAt.After(c.platform) {
		c.platform = seenAt
	}
}

func (c *contacts) lastPlatform() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.platform
}

func (c *contacts) recordPeer(now time.Time, name, datacentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[name] = now
	c.datacentres[datacentre] = now
}

// remove drops the records of a node whose member row was pruned.
func (c *contacts) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, name)
	delete(c.rowsSentAt, name)
}

func (c *contacts) lastPeer(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[name]
}

// hasQuorum reports whether the node has enough contact with the fleet to take new work.
func (n *Node) hasQuorum(now time.Time) bool {
	t := n.table.Load()
	local := n.cfg.Settings.Datacentre
	n.contacts.mu.Lock()
	defer n.contacts.mu.Unlock()
	if now.Sub(n.contacts.platform) <= n.cfg.Settings.Timing.IsolationTimeout.Duration() {
		return true
	}
	seen := quorum.Contacts{PlatformSeen: n.contacts.platform, DatacentresSeen: map[string]time.Time{}, LocalDatacentre: local, OnlyLocalNode: true}
	for _, d := range t.Datacentres() {
		seen.DatacentresSeen[d] = n.contacts.datacentres[d]
	}
	for _, name := range t.LiveIn(local) {
		if name != n.Name() {
			seen.OnlyLocalNode = false
		}
	}
	return seen.HasQuorum(now, n.cfg.Settings.Timing.IsolationTimeout.Duration())
}
