// Package deskpb is the generated code of the protocol between a node and the desk of a stage service.
package deskpb
