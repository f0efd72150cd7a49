// Package loopback gives tests addresses that nothing else on the machine takes.
package loopback
