// Package release validates a complete set of objects and packs it into numbered, immutable releases.
package release
