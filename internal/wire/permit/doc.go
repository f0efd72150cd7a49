// Package permit asks the nodes that keep the limits of targets for sends, and answers as such a node.
package permit
