// Package engine is a stand-in for a target, either a model engine or a plain service, that counts what it really ran.
package engine
