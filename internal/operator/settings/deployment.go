package settings

import "time"

// MetricsPort is where a node on the users' platform serves its metrics; deploy/system.toml names it too.
const MetricsPort = 9464

// Deployment is what a node on the users' platform is told at its start.
type Deployment struct {
	Name       string
	Datacentre string
	// Caller, Ready, Peer, Metrics and Store are addresses as IP:PORT.
	Caller  string
	Ready   string
	Peer    string
	Metrics string
	Store   string
	// Seeds are the Peer addresses of some other nodes; they may be stale.
	Seeds []string
	// Memory is in bytes, Files a number of descriptors.
	Memory int64
	Files  int
	// Link is the width of the machine's link, in megabits a second.
	Link float64
	// Leave is how long a target serves on after it has said that it leaves.
	Leave time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace   time.Duration
	Repeats Repeats
	Cold    Cold
}

// Repeats bounds the sends to a service beyond the first of each request, over all nodes.
type Repeats struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// Cold bounds what a cold target gets each second, over all nodes: its own rate times Factor, and Extra.
type Cold struct {
	Factor float64
	Extra  float64
}

// ValidAddress tells whether a is IP:PORT.
func ValidAddress(a string) bool { return address(a) }
