// Package informer follows one kind of object: list, watch, resume at the last version, relist with a jittered back-off.
//
// The loop follows "Kubernetes internals: Informers" (Reflector and bookmarks); docs/PROOF.md has the measurement.
package informer
