// Package loopback gives tests and measurements addresses that nothing else on the machine takes.
package loopback
