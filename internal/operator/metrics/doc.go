// Package metrics records a node's metrics through tally with its Prometheus reporter.
package metrics
