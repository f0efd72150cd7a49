// Package snapshotpb contains the generated code of the protocol with which nodes read a snapshot from each other.
package snapshotpb
