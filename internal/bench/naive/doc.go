// Package naive is the baseline: a router in each client that goes round robin, retries a fixed number of times and limits nothing.
package naive
