// Package coldstart limits the sends of all nodes together to a cold target, without communication between the nodes.
package coldstart
