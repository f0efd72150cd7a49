// Package entry takes a caller's request through the stages of its pipeline and decides how it ends.
package coordinator
