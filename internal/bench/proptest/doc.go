// Package fixed makes property tests draw the same cases every time.
package proptest
