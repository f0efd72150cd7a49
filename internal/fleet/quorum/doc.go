// Package quorum decides whether a node has enough contact with the fleet to take new work.
package quorum
