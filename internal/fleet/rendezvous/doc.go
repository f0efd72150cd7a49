// Package rendezvous ranks nodes for a target, a ledger shard or a duty by rendezvous hashing.
package rendezvous
