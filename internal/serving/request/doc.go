// Package request describes callers' requests, and keeps the events and outcome of each while a caller may ask for them
// again.
package request
