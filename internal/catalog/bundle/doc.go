// Package bundle reads TOML files with one or more objects each into a set.
package bundle
