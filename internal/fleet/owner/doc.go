// Package owner admits work to the targets that a node owns; only one node of the fleet owns a target at a time.
package owner
