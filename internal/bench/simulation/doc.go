// Package simulation runs arrivals through the batching and balancing code in virtual time, without sockets.
//
// Stage targets, model targets and callers are emulated; all decisions are made by the product's own packages (batch,
// schedule, balancer).
package simulation
