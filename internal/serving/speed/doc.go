// Package speed estimates how long work takes at a target, from the calls that it has run and from what it reports of the present.
package speed
