// Package access tells operators apart by bearer tokens.
package auth
