// Package call describes one client attempt, independent of how it is written on the wire.
package call
