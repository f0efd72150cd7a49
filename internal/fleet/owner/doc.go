// Package owner admits work to the targets that a node owns; each target has one owner in the fleet.
package owner
