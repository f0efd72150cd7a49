// Package peer carries the calls between nodes over gRPC and notices when a connection has gone silent.
package peer
