// Package snapshot passes what a node has read from the platform's store on to nodes that start while the store is
// unavailable.
package snapshot
