// Package node puts one node together: its place in the fleet, the targets and shards it owns, and its entry.
package node
