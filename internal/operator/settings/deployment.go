package settings

import "time"

// MetricsPort is where a node on the users' platform serves its metrics; deploy/system.toml names it too.
const MetricsPort = 9464

// Gateway is what a node on the users' platform is told at its start.
type Gateway struct {
	Name       string
	Datacentre string
	// CallerAddress, Ready, Peer, Metrics and Store are addresses as IP:PORT.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	StoreAddress   string
	// Seeds are the Peer addresses of some other nodes; they may be stale.
	Seeds []string
	// MemoryBytes is in bytes, Files a number of descriptors.
	MemoryBytes int64
	MaxFiles    int
	// LinkMbps is the width of the machine's link, in megabits a second.
	LinkMbps float64
	// DrainTime is how long a target serves on after it has said that it leaves.
	DrainTime time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	RetryBudget RetryBudget
	ColdLimit   ColdLimit
}

// RetryBudget bounds the sends to a service beyond the first of each request, over all nodes.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// ColdLimit bounds what a cold target gets each second, over all nodes: its own rate times Factor, and Extra.
type ColdLimit struct {
	Factor float64
	Extra  float64
}

// ValidAddress tells whether a is IP:PORT.
func ValidAddress(a string) bool { return address(a) }
