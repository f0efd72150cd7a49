// Package request holds callers' requests, and the events and outcome of each for as long as they may be asked for again.
package request
