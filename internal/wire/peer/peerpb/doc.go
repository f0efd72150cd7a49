// Package peerpb is the generated code of the protocol between nodes.
package peerpb
