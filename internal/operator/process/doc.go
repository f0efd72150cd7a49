// Package process runs one node with its callers' and operators' servers, from settings to a planned stop.
package process
