// Package desk runs the calls of stage targets: one node for each stage service fills them with pieces of all nodes.
package dispatch
