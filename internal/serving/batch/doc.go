// Package batch decides which pieces of stages go into the next call of a target.
package batch
