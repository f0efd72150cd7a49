// Package target tracks the health of one target: whether it is cold or warm, and its concurrency limit.
package target
