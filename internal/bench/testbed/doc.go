// Package testbed runs a whole deployment in one process: a stand-in platform, nodes and stand-in targets on loopback.
package testbed
