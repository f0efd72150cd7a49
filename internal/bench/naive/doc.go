// Package naive is the baseline: a client-side router that goes round robin, retries a fixed number of times and limits nothing.
package naive
