// Package snapshotpb is the generated code of the protocol by which nodes ask for a snapshot.
package snapshotpb
