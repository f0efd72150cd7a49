// Package auth authenticates operators by bearer tokens.
package auth
