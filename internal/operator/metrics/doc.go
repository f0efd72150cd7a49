// Package meter counts what a node does, by tally with its Prometheus reporter.
package metrics
