// Package outcome defines the four possible outcomes of a request.
package outcome
