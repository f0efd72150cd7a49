// Package admission queues the requests that wait for one target: by priority, fair between teams, earliest deadline
// first.
package admission
