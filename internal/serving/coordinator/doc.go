// Package coordinator runs a caller's request through the stages of its pipeline and determines its outcome.
package coordinator
