// Package peer carries calls between nodes over gRPC and detects unresponsive connections.
package peer
