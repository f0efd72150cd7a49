// Package engine is a small stand-in of a target: a model engine or a plain service that knows the truth about what it ran.
package engine
