// Package settings reads one node's TOML settings, rejects unknown keys and lists every violation at once.
package settings
