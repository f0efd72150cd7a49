// Package owner is the one place over all nodes that admits work to a target.
package owner
