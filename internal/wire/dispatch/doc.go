// Package dispatch batches the pieces of all nodes into calls to stage targets; one node does so for each shard of a
// stage service.
package dispatch
