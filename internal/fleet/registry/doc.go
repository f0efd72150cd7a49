// Package registry holds the view of targets and nodes in force, and of the data centres that are out of service.
package registry
