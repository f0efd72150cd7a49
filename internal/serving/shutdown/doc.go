// Package shutdown decides what a node still serves during a planned stop.
package shutdown
