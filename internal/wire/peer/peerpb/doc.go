// Package peerpb contains the generated code of the protocol between nodes.
package peerpb
