// Package node assembles one node: its membership in the fleet, the targets and ledger shards that it owns, and its
// coordinator.
package node
