// Package bundle reads people's TOML files, one object or many in each, into a set.
package bundle
