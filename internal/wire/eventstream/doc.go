// Package eventstream follows the events of a text/event-stream body without decoding them.
package eventstream
