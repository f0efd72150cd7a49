// Package store is a small stand-in of the platform's object API, in memory, with faults that can be set at run time.
package store
