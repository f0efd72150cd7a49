// Package release checks a whole set of objects and packs it into numbered, immutable releases.
package release
