// Package outcome holds the four ends that a request can come to.
package outcome
