// Package pool defines the pool object: targets of one type and their concurrency limits.
package pool
