// Package reach decides whether a node hears enough of the fleet to take new work.
package quorum
