// Package batch schedules the pieces of pipeline stages into batch calls to stage targets.
package batch
