// Package gateway accepts callers' requests over HTTP/1.1, runs their stages and forwards them to targets unchanged.
package gateway
