// Package gate is a small TCP relay for tests: it can cut what passes it, or leave it open and silent.
package faultproxy
