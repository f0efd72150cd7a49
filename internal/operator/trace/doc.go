// Package trace puts the way of one request together from the logs of all nodes.
package trace
