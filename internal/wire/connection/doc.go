// Package link sends HTTP/1.1 requests to targets byte for byte and reads their answers with care.
//
// The standard client is not used: it rewrites request targets, and it drops a connection on which the answer
// to an earlier request comes once more, although the right answer follows.
package connection
