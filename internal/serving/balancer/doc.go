// Package placing chooses the target of a request.
package balancer
