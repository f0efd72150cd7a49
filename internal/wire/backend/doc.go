// Package backend sends attempts to targets over HTTP and checks that each response belongs to its attempt.
package backend
