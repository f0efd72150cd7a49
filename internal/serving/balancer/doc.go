// Package balancer chooses the target of a request by load and prefix affinity.
package balancer
