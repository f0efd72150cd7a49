// Package process runs one node with its servers for callers and operators, from reading its settings to a planned stop.
package process
