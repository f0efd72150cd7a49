// Package replay runs arrivals against the decisions on stages and model targets in virtual time, without sockets.
//
// Stage targets, model targets and callers are emulated; the decisions are those of the product (batch, plan, placing).
package simulation
