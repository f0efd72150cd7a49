// Package rolloutpb contains the generated code of the protocol between a node and the keepers of a pool's limits.
package rolloutpb
