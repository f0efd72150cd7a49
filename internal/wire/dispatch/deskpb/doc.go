// Package deskpb contains the generated code of the protocol between a node and the dispatcher of a stage service.
package deskpb
