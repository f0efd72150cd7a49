// Package publication publishes the platform's objects as numbered releases.
package publication
