// Package publication turns the objects in the platform into numbered releases.
package publication
