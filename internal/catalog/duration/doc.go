// Package duration provides a duration that is written as "1.5s" in TOML files and JSON.
package duration
