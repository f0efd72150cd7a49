// Package trace reconstructs the path of one request from the logs of all nodes.
package trace
