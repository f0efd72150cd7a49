// Package connection sends HTTP/1.1 requests to targets byte for byte and checks which request a response belongs to.
//
// The standard client is not used: it rewrites request targets, and it drops a connection on which the response to an
// earlier request arrives a second time, although the right response follows.
package connection
