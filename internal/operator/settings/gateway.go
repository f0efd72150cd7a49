package settings

import "time"

// MetricsPort is the port at which a node on the users' platform serves its metrics; deploy/system.toml names it too.
const MetricsPort = 9464

// Gateway holds the start settings of a node on the users' platform.
type Gateway struct {
	Name       string
	Datacentre string
	// CallerAddress, ReadyAddress, PeerAddress, MetricsAddress and StoreAddress are addresses as IP:PORT.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	StoreAddress   string
	// Seeds are the peer addresses of some other nodes; they may be stale.
	Seeds []string
	// MemoryBytes is the memory limit, MaxFiles the limit on open file descriptors.
	MemoryBytes int64
	MaxFiles    int
	// LinkMbps is the bandwidth of the machine's network link, in megabits per second.
	LinkMbps float64
	// Heartbeat is how often a target writes its entry in the store, 0 if that is not known.
	Heartbeat time.Duration
	// DrainTime is how long a target keeps serving after it has announced that it drains.
	DrainTime time.Duration
	// ConfigTime is the time within which a configuration must be in force.
	ConfigTime time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	RetryBudget RetryBudget
	ColdLimit   ColdLimit
	// Rollout is zero where the deployment has no rollouts.
	Rollout Rollout
	Callers CallerBounds
}

// ApplyTime returns the time within which every change must be in force, 0 if the settings name none.
func (g Gateway) ApplyTime() time.Duration {
	if g.DrainTime == 0 || g.ConfigTime == 0 {
		return max(g.DrainTime, g.ConfigTime)
	}
	return min(g.DrainTime, g.ConfigTime)
}

// Rollout limits what a bad version of a service may cost while it replaces another one.
type Rollout struct {
	// Share and Slack limit the requests to a bad version over all nodes: the share of all requests to the service, plus Slack.
	Share float64
	Slack int
	// Rollback is the time after the 50th bad response of a version within which no more requests are sent to it.
	Rollback time.Duration
}

// CallerBounds bound what all callers of a node may hold, 0 for the default.
type CallerBounds struct {
	// MemoryBytes is for requests and responses, Connections for open connections.
	MemoryBytes int64
	Connections int
}

// CallerMemory returns the bytes that requests and responses of callers may hold, 0 for no bound. By default it is three eighths of the
// memory: the Go heap may grow to about twice what is held before it is collected.
func (g Gateway) CallerMemory() int64 {
	if g.Callers.MemoryBytes > 0 {
		return g.Callers.MemoryBytes
	}
	return g.MemoryBytes * 3 / 8
}

// CallerConnections returns how many connections callers may have, 0 for no bound. By default it is five sixteenths of the
// descriptors: each request may need another one for its target, and other nodes, the store and the internal ports have the rest.
func (g Gateway) CallerConnections() int {
	if g.Callers.Connections > 0 {
		return g.Callers.Connections
	}
	return g.MaxFiles * 5 / 16
}

// RetryBudget limits the retries to a service over all nodes: the sends beyond the first of each request.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// ColdLimit limits the sends to a cold target per second over all nodes: the target's own rate times Factor, plus Extra.
type ColdLimit struct {
	Factor float64
	Extra  float64
}

// ValidAddress reports whether a is an address as IP:PORT.
func ValidAddress(a string) bool { return isAddress(a) }
