// Package backend sends attempts to targets over HTTP and checks that what comes back belongs to them.
package backend
