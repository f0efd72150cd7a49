// Package stage defines the stage object: one step of a pipeline and the pool that runs it.
package stage
