// Package transport builds HTTP servers on go-zero's rest, without the middleware that would answer requests in place
// of their handlers, and TLS configurations that follow changes of certificate files.
package transport
