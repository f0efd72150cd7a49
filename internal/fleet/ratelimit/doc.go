// Package ratelimit shares the limits that targets name between the nodes of a fleet: a few nodes keep the limits of each
// pool of targets, and every other node asks one of them before it sends.
package ratelimit
