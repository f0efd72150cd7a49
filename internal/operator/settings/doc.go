// Package settings reads one node's TOML settings, refuses unknown keys and lists every fault at once.
package settings
