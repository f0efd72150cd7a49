// Package object provides a client of the platform's object API: versions, conditional updates, lists and watches.
package object
