// Package gateway takes callers' requests over HTTP/1.1 and passes them on to targets unchanged.
package gateway
