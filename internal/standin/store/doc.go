// Package store is an in-memory stand-in for the platform's object API, with faults that can be set at run time.
package store
